/** Client of the administration API that fails over between several nodes. */

import got from 'got';
import type { Got, Response } from 'got';
import type * as z from 'zod';
import { failures, problems } from '@godwittrack/core';
import * as responses from './responses.js';

export interface AdminClientOptions {
  /** Base URLs of the nodes' admin listeners, in the order in which they are tried. */
  nodes: readonly string[];
  /** Timeout of one call to one node. Default 5,000 ms. */
  timeoutMs?: number;
}

export interface CallOptions {
  /** Aborts the call; no further nodes are tried. */
  signal?: AbortSignal;
}

export interface AuditQuery {
  limit?: number;
  service?: string;
}

const DEFAULT_TIMEOUT_MS = 5_000;

/** Failures that may be limited to one node, so that the next node is tried. */
const NODE_FAILURES: ReadonlySet<failures.FailureType> = new Set([
  'peerUnavailable',
  'notReady',
  'draining',
  'platformUnavailable',
  'platformOverloaded',
  'platformOutcomeUnknown',
]);

/** Error codes of connections that failed before any data was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

interface Call<T> extends CallOptions {
  /** Description for error messages, for example `show ticket 7`. */
  operation: string;
  path: string;
  schema: z.ZodType<T>;
  /** Text of the ticket; makes the call a POST. */
  body?: string;
  /** True when the call changes state, so that its outcome is unknown if the response is lost. */
  writes?: boolean;
}

interface Attempt {
  node: string;
  failure: failures.Failure;
  /** The request may have taken effect although the attempt failed. */
  mayHaveTakenEffect: boolean;
}

export class AdminClient {
  private readonly client: Got;

  /** The last node that responded comes first, so that a dead one costs its timeout only once. */
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

  /** Filing is idempotent by ticket number and content, so it can be retried at another node. */
  fileTicket(text: string): Promise<responses.FiledTicket> {
    const operation = 'file the ticket';
    const schema = responses.filedTicket;
    return this.call({ operation, path: 'v1/tickets', schema, body: text, writes: true });
  }

  checkTicket(text: string): Promise<responses.CheckedTicket> {
    const operation = 'check the ticket';
    return this.call({
      operation,
      path: 'v1/tickets/check',
      schema: responses.checkedTicket,
      body: text,
    });
  }

  tickets(): Promise<responses.TicketList> {
    return this.call({
      operation: 'list tickets',
      path: 'v1/tickets',
      schema: responses.ticketList,
    });
  }

  ticket(number: number): Promise<responses.TicketDetail> {
    const operation = `show ticket ${number}`;
    return this.call({ operation, path: `v1/tickets/${number}`, schema: responses.ticketDetail });
  }

  /** With `version`, `members.atVersion` counts the nodes that hold at least that version. */
  status(version?: number, options: CallOptions = {}): Promise<responses.Status> {
    const path = version === undefined ? 'v1/status' : `v1/status?version=${version}`;
    return this.call({ operation: 'read status', path, schema: responses.status, ...options });
  }

  rollouts(): Promise<responses.RolloutList> {
    const operation = 'list rollouts';
    return this.call({ operation, path: 'v1/rollouts', schema: responses.rolloutList });
  }

  rollout(id: string, options: CallOptions = {}): Promise<responses.Rollout> {
    const path = `v1/rollouts/${encodeURIComponent(id)}`;
    const operation = `show rollout ${id}`;
    return this.call({ operation, path, schema: responses.rollout, ...options });
  }

  upstreams(): Promise<responses.UpstreamList> {
    const operation = 'list upstreams';
    return this.call({ operation, path: 'v1/upstreams', schema: responses.upstreamList });
  }

  listNodes(): Promise<responses.NodeList> {
    return this.call({ operation: 'list nodes', path: 'v1/nodes', schema: responses.nodeList });
  }

  audit(query: AuditQuery): Promise<responses.Audit> {
    const params = new URLSearchParams();
    if (query.limit !== undefined) params.set('limit', String(query.limit));
    if (query.service !== undefined) params.set('service', query.service);
    const path = params.size === 0 ? 'v1/audit' : `v1/audit?${params}`;
    return this.call({ operation: 'read the audit trail', path, schema: responses.audit });
  }

  /**
   * Tries the nodes in order until one succeeds or fails in a way that every node would.
   * @throws peerUnavailable when no node responds, platformOutcomeUnknown when a write may have
   * taken effect, protocolViolation for a malformed response, or the failure that a node reported
   */
  private async call<T>(call: Call<T>): Promise<T> {
    const attempts: Attempt[] = [];
    for (const node of [...this.nodes]) {
      try {
        const result = await this.callNode(node, call);
        this.nodes = [node, ...this.nodes.filter((other) => other !== node)];
        return result;
      } catch (err) {
        const failure = failures.fromError(err);
        if (!NODE_FAILURES.has(failure.type)) throw err;
        attempts.push({ node, failure, mayHaveTakenEffect: mayHaveTakenEffect(failure, err) });
        if (call.signal?.aborted) break;
      }
    }
    throw summarizeAttempts(call, attempts);
  }

  private async callNode<T>(node: string, call: Call<T>): Promise<T> {
    const res = await this.send(node, call);
    const body = parseJson(res.body);
    if (res.statusCode === 200) {
      const checked = call.schema.safeParse(body);
      if (checked.success) return checked.data;
      const [first] = problems.fromZod(checked.error, () => undefined);
      const problem = first === undefined ? '' : `: ${failures.describeProblem(first)}`;
      const detail = `unexpected response to "${call.operation}"${problem}`;
      throw failures.toError({ type: 'protocolViolation', peer: node, detail });
    }
    const failure = responses.parseFailure(body);
    if (failure !== null) throw failures.toError(failure);
    const detail = `unexpected response to "${call.operation}" with status ${res.statusCode}`;
    throw failures.toError({ type: 'protocolViolation', peer: node, detail });
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
      throw failures.toError({ type: 'peerUnavailable', peer: node, detail }, err);
    }
  }
}

function mayHaveTakenEffect(failure: failures.Failure, err: unknown): boolean {
  if (failure.type === 'platformOutcomeUnknown') return true;
  if (failure.type !== 'peerUnavailable') return false;
  const cause = err instanceof Error ? (err.cause as { code?: string } | undefined) : undefined;
  return !NOT_SENT_CODES.has(cause?.code ?? '');
}

function summarizeAttempts<T>(call: Call<T>, attempts: Attempt[]): failures.FailureError {
  const detail = attempts
    .map(({ node, failure }) =>
      failure.type === 'peerUnavailable'
        ? `${node}: ${failure.detail}`
        : `${node}: ${failures.describe(failure)}`,
    )
    .join('; ');
  if (call.writes && attempts.some((attempt) => attempt.mayHaveTakenEffect)) {
    return failures.toError({ type: 'platformOutcomeUnknown', operation: call.operation, detail });
  }
  const reported = attempts.findLast(({ failure }) => failure.type !== 'peerUnavailable');
  if (reported !== undefined) return failures.toError(reported.failure);
  const peer = attempts.map(({ node }) => node).join(', ');
  return failures.toError({ type: 'peerUnavailable', peer, detail });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
