/** Client of the administration API, over several nodes. */

import got from 'got';
import type { Got, Response } from 'got';
import type * as z from 'zod';
import { failures, problems } from '@godwittrack/core';
import * as answers from './answers.js';

export interface AdminClientOptions {
  /** Base URLs of the nodes' admin listeners, in the order in which they are tried. */
  nodes: readonly string[];
  /** Time for one call to one node. Default 5,000 ms. */
  timeoutMs?: number;
}

export interface CallOptions {
  /** Ends the call, whatever nodes are left to try. */
  signal?: AbortSignal;
}

export interface AuditQuery {
  limit?: number;
  service?: string;
}

const DEFAULT_TIMEOUT_MS = 5_000;

/** Failures of one node that another may not have. */
const NODE_FAILURES: ReadonlySet<failures.FailureType> = new Set([
  'peerUnavailable',
  'notReady',
  'draining',
  'platformUnavailable',
  'platformOverloaded',
  'platformOutcomeUnknown',
]);

/** Connection errors before which nothing was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

interface Call<T> extends CallOptions {
  /** For messages, for example `file ticket 7`. */
  operation: string;
  path: string;
  schema: z.ZodType<T>;
  /** Ticket text of a POST. */
  body?: string;
  /** True when the call changes state, so that a lost answer leaves the outcome open. */
  writes?: boolean;
}

interface Attempt {
  node: string;
  failure: failures.Failure;
  /** The request may have taken effect although the attempt failed. */
  mayHaveRun: boolean;
}

export class AdminClient {
  private readonly client: Got;

  /** The node that answered last comes first, so that a dead one costs its timeout only once. */
  private nodes: string[];

  constructor(options: AdminClientOptions) {
    this.nodes = [...options.nodes];
    this.client = got.extend({
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
      timeout: { request: options.timeoutMs ?? DEFAULT_TIMEOUT_MS },
    });
  }

  /** Filing is idempotent by ticket number and content, so it may be repeated at another node. */
  fileTicket(text: string): Promise<answers.Filed> {
    const operation = 'file the ticket';
    const schema = answers.filed;
    return this.call({ operation, path: 'v1/tickets', schema, body: text, writes: true });
  }

  checkTicket(text: string): Promise<answers.Checked> {
    const operation = 'check the ticket';
    return this.call({ operation, path: 'v1/tickets/check', schema: answers.checked, body: text });
  }

  tickets(): Promise<answers.TicketList> {
    return this.call({
      operation: 'list tickets',
      path: 'v1/tickets',
      schema: answers.ticketList,
    });
  }

  ticket(number: number): Promise<answers.TicketDetail> {
    const operation = `show ticket ${number}`;
    return this.call({ operation, path: `v1/tickets/${number}`, schema: answers.ticketDetail });
  }

  /** With `version`, `members.atVersion` counts the nodes that hold at least that version. */
  status(version?: number, options: CallOptions = {}): Promise<answers.Status> {
    const path = version === undefined ? 'v1/status' : `v1/status?version=${version}`;
    return this.call({ operation: 'read status', path, schema: answers.status, ...options });
  }

  rollouts(): Promise<answers.RolloutList> {
    const operation = 'list rollouts';
    return this.call({ operation, path: 'v1/rollouts', schema: answers.rolloutList });
  }

  rollout(id: string, options: CallOptions = {}): Promise<answers.Rollout> {
    const path = `v1/rollouts/${encodeURIComponent(id)}`;
    const operation = `show rollout ${id}`;
    return this.call({ operation, path, schema: answers.rollout, ...options });
  }

  upstreams(): Promise<answers.UpstreamList> {
    const operation = 'list upstreams';
    return this.call({ operation, path: 'v1/upstreams', schema: answers.upstreamList });
  }

  listNodes(): Promise<answers.NodeList> {
    return this.call({ operation: 'list nodes', path: 'v1/nodes', schema: answers.nodeList });
  }

  audit(query: AuditQuery): Promise<answers.Audit> {
    const params = new URLSearchParams();
    if (query.limit !== undefined) params.set('limit', String(query.limit));
    if (query.service !== undefined) params.set('service', query.service);
    const path = params.size === 0 ? 'v1/audit' : `v1/audit?${params}`;
    return this.call({ operation: 'read the audit trail', path, schema: answers.audit });
  }

  /**
   * Tries the nodes in order until one gives an answer that another node would give too.
   * @throws peerUnavailable when no node answers, platformOutcomeUnknown when a write may have
   * taken effect, protocolViolation for an answer of another shape, or the node's own failure
   */
  private async call<T>(call: Call<T>): Promise<T> {
    const attempts: Attempt[] = [];
    for (const node of [...this.nodes]) {
      try {
        const answer = await this.ask(node, call);
        this.nodes = [node, ...this.nodes.filter((other) => other !== node)];
        return answer;
      } catch (err) {
        const failure = failures.of(err);
        if (!NODE_FAILURES.has(failure.type)) throw err;
        attempts.push({ node, failure, mayHaveRun: mayHaveRun(failure, err) });
        if (call.signal?.aborted) break;
      }
    }
    throw summarize(call, attempts);
  }

  private async ask<T>(node: string, call: Call<T>): Promise<T> {
    const res = await this.send(node, call);
    const body = parseJson(res.body);
    if (res.statusCode === 200) {
      const checked = call.schema.safeParse(body);
      if (checked.success) return checked.data;
      const [first] = problems.fromZod(checked.error, () => undefined);
      const found = first === undefined ? '' : `: ${failures.describeProblem(first)}`;
      const detail = `unexpected answer to "${call.operation}"${found}`;
      throw failures.raise({ type: 'protocolViolation', peer: node, detail });
    }
    const failure = answers.parseFailure(body);
    if (failure !== null) throw failures.raise(failure);
    const detail = `unexpected answer to "${call.operation}" with status ${res.statusCode}`;
    throw failures.raise({ type: 'protocolViolation', peer: node, detail });
  }

  private async send<T>(node: string, call: Call<T>): Promise<Response<string>> {
    try {
      return await this.client(new URL(call.path, `${node}/`), {
        method: call.body === undefined ? 'GET' : 'POST',
        headers: {
          accept: 'application/json',
          ...(call.body === undefined ? {} : { 'content-type': 'application/yaml' }),
        },
        body: call.body,
        signal: call.signal,
        responseType: 'text',
      });
    } catch (err) {
      const detail = err instanceof Error ? err.message : String(err);
      throw failures.raise({ type: 'peerUnavailable', peer: node, detail }, err);
    }
  }
}

function mayHaveRun(failure: failures.Failure, err: unknown): boolean {
  if (failure.type === 'platformOutcomeUnknown') return true;
  if (failure.type !== 'peerUnavailable') return false;
  const cause = err instanceof Error ? (err.cause as { code?: string } | undefined) : undefined;
  return !NOT_SENT_CODES.has(cause?.code ?? '');
}

function summarize<T>(call: Call<T>, attempts: Attempt[]): failures.FailureError {
  const detail = attempts
    .map(({ node, failure }) =>
      failure.type === 'peerUnavailable'
        ? `${node}: ${failure.detail}`
        : `${node}: ${failures.describe(failure)}`,
    )
    .join('; ');
  if (call.writes && attempts.some((attempt) => attempt.mayHaveRun)) {
    return failures.raise({ type: 'platformOutcomeUnknown', operation: call.operation, detail });
  }
  const reported = attempts.findLast(({ failure }) => failure.type !== 'peerUnavailable');
  if (reported !== undefined) return failures.raise(reported.failure);
  const peer = attempts.map(({ node }) => node).join(', ');
  return failures.raise({ type: 'peerUnavailable', peer, detail });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
