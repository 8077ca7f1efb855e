/** Object store over the platform's HTTP API. */

import got from 'got';
import type { Got, Method, Response } from 'got';
import * as z from 'zod';
import { failures } from '@godwittrack/core';
import * as store from './objectStore.js';

export interface HttpObjectStoreOptions {
  /** Base URL of the platform, for example `http://10.0.0.9:7000`. */
  url: string;
  /** Timeout of one call other than a watch. Default 2,000 ms. */
  timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2_000;
/** Added to the wait time of a watch to get the timeout of its call. */
const WATCH_GRACE_MS = 2_000;
const MAX_VALUE_BYTES = 1024 * 1024;
const DEFAULT_RETRY_AFTER_MS = 1_000;

const kindSchema = z.string() as unknown as z.ZodType<store.ObjectKind>;
const objectSchema = z.object({
  kind: kindSchema,
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
});
const listSchema = z.object({ version: z.number(), items: z.array(objectSchema) });
const writeResponseSchema = z.object({ version: z.number() });
const conflictResponseSchema = z.object({ current: z.number().nullable() });
const eventSchema = z.object({
  type: z.enum(['put', 'delete']),
  kind: kindSchema,
  name: z.string(),
  version: z.number(),
  value: z.unknown(),
});
const eventBatchSchema = z.object({ version: z.number(), events: z.array(eventSchema) });

interface Call {
  method: Method;
  path: string;
  operation: string;
  headers?: Record<string, string>;
  json?: unknown;
  timeoutMs?: number;
  signal?: AbortSignal;
}

export class HttpObjectStore extends store.ObjectStore {
  private readonly client: Got;

  private readonly timeoutMs: number;

  constructor(options: HttpObjectStoreOptions) {
    super();
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.client = got.extend({
      prefixUrl: options.url,
      retry: { limit: 0 },
      throwHttpErrors: false,
      followRedirect: false,
    });
  }

  override async get(kind: store.ObjectKind, name: string, signal?: AbortSignal) {
    const operation = `get ${kind}/${name}`;
    const res = await this.call({ method: 'GET', path: objectPath(kind, name), operation, signal });
    if (res.statusCode === 404) return null;
    return this.decode(res, objectSchema, operation);
  }

  override async list(kind: store.ObjectKind, signal?: AbortSignal) {
    const operation = `list ${kind}`;
    const path = `v1/objects/${kind}`;
    const res = await this.call({ method: 'GET', path, operation, signal });
    return this.decode(res, listSchema, operation);
  }

  override async put(
    kind: store.ObjectKind,
    name: string,
    value: unknown,
    precondition: store.Precondition,
    signal?: AbortSignal,
  ) {
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > MAX_VALUE_BYTES) throw tooLargeFailure(kind, name, bytes);
    const operation = `put ${kind}/${name}`;
    const headers = conditionHeaders(precondition);
    const path = objectPath(kind, name);
    const res = await this.call({
      method: 'PUT',
      path,
      operation,
      headers,
      json: { value },
      signal,
    });
    if (res.statusCode === 412) throw conflictFailure(kind, name, res);
    if (res.statusCode === 413) throw tooLargeFailure(kind, name, bytes);
    return this.decode(res, writeResponseSchema, operation).version;
  }

  override async delete(
    kind: store.ObjectKind,
    name: string,
    precondition: store.Precondition,
    signal?: AbortSignal,
  ) {
    const operation = `delete ${kind}/${name}`;
    const headers = conditionHeaders(precondition);
    const path = objectPath(kind, name);
    const res = await this.call({ method: 'DELETE', path, operation, headers, signal });
    if (res.statusCode === 404) throw failures.toError({ type: 'objectNotFound', kind, name });
    if (res.statusCode === 412) throw conflictFailure(kind, name, res);
    this.decode(res, writeResponseSchema, operation);
  }

  override async watch(
    kinds: readonly store.ObjectKind[],
    since: number,
    waitMs: number,
    signal?: AbortSignal,
  ) {
    const operation = `watch ${kinds.join(',')}`;
    const path = `v1/watch?kinds=${kinds.join(',')}&since=${since}&waitMs=${waitMs}`;
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    const res = await this.call({ method: 'GET', path, operation, timeoutMs, signal });
    if (res.statusCode === 410) throw failures.toError({ type: 'watchExpired', since });
    return this.decode(res, eventBatchSchema, operation);
  }

  private async call(call: Call): Promise<Response<string>> {
    try {
      const res = await this.client(call.path, {
        method: call.method,
        headers: call.headers,
        ...(call.json === undefined ? {} : { json: call.json }),
        timeout: { request: call.timeoutMs ?? this.timeoutMs },
        signal: call.signal,
      });
      if (res.statusCode === 429) throw overloadFailure(call.operation, res);
      if (res.statusCode >= 500) throw callFailure(call, `status ${res.statusCode}`);
      return res;
    } catch (err) {
      if (err instanceof failures.FailureError) throw err;
      throw callFailure(call, err instanceof Error ? err.message : String(err), err);
    }
  }

  private decode<T>(res: Response<string>, schema: z.ZodType<T>, operation: string): T {
    const checked = res.statusCode === 200 ? schema.safeParse(parseJson(res.body)) : null;
    if (checked?.success) return checked.data;
    const detail = `unexpected answer with status ${res.statusCode}`;
    throw failures.toError({ type: 'platformUnavailable', operation, detail });
  }
}

function objectPath(kind: store.ObjectKind, name: string): string {
  return `v1/objects/${kind}/${encodeURIComponent(name)}`;
}

function conditionHeaders(precondition: store.Precondition): Record<string, string> {
  if (precondition.type === 'absent') return { 'if-none-match': '*' };
  if (precondition.type === 'version') return { 'if-match': `"${precondition.version}"` };
  return {};
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** A write whose connection broke may have taken effect, unless it was never sent. */
function callFailure(call: Call, detail: string, cause?: unknown): failures.FailureError {
  const { operation } = call;
  const code = (cause as { code?: unknown } | undefined)?.code;
  const neverSent = code === 'ECONNREFUSED' || code === 'EHOSTUNREACH';
  if (call.method === 'GET' || neverSent) {
    return failures.toError({ type: 'platformUnavailable', operation, detail }, cause);
  }
  return failures.toError({ type: 'platformOutcomeUnknown', operation, detail }, cause);
}

function overloadFailure(operation: string, res: Response<string>): failures.FailureError {
  const seconds = Number(res.headers['retry-after']);
  const retryAfterMs = Number.isFinite(seconds) ? seconds * 1_000 : DEFAULT_RETRY_AFTER_MS;
  return failures.toError({ type: 'platformOverloaded', operation, retryAfterMs });
}

function conflictFailure(kind: string, name: string, res: Response<string>): failures.FailureError {
  const checked = conflictResponseSchema.safeParse(parseJson(res.body));
  const currentVersion = checked.success ? checked.data.current : null;
  return failures.toError({ type: 'objectConflict', kind, name, currentVersion });
}

function tooLargeFailure(kind: string, name: string, bytes: number): failures.FailureError {
  const limitBytes = MAX_VALUE_BYTES;
  return failures.toError({ type: 'objectTooLarge', kind, name, bytes, limitBytes });
}
