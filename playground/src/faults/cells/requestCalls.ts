/** Calls of the request cells: held at a step while a fault strikes, then checked. */

import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as timers from 'node:timers/promises';

export type Step = 'accepted' | 'dispatched' | 'running' | 'relayed';

export interface CallResult {
  requestId: string;
  /** Empty for repeatable requests. */
  key: string;
  /** Null when the connection broke before or within the answer. */
  status: number | null;
  /** `X-Godwittrack-Outcome`; empty when there is none. */
  outcome: string;
  /** Whether a complete answer with status 200 belongs to this request and matches its checksum. */
  right: boolean;
  hasRetryAfter: boolean;
  ms: number;
}

const TIMEOUT_MS = 4_000;
/** More than the buffers between upstream and caller hold together. */
const LARGE_ANSWER_BYTES = 12_000_000;
const UPLOAD_BYTES = 20_000;

/** Calls of one step; `proceed` lets held ones go on. */
export class HeldCalls {
  private readonly let: AbortController = new AbortController();

  private readonly pending: Promise<CallResult>[] = [];

  constructor(
    private readonly url: string,
    private readonly step: Step,
  ) {}

  /** Sends `count` repeatable and as many `once` requests. */
  send(count: number, prefix: string): void {
    for (let n = 0; n < count; n++) {
      this.pending.push(this.call(`${prefix}-safe-${n}`, ''));
      this.pending.push(this.call(`${prefix}-once-${n}`, `${prefix}-key-${n}`));
    }
  }

  proceed(): void {
    this.let.abort();
  }

  results(): Promise<CallResult[]> {
    return Promise.all(this.pending);
  }

  private async call(requestId: string, key: string): Promise<CallResult> {
    const { hostname: host, port } = new URL(this.url);
    const upload = this.step === 'accepted' ? crypto.randomBytes(UPLOAD_BYTES) : Buffer.alloc(0);
    const bytes = this.step === 'relayed' ? LARGE_ANSWER_BYTES : 1_000;
    const query = this.step === 'accepted' ? '' : `?bytes=${bytes}&chunked`;
    const path = `${key === '' ? '/back/echo' : '/back/order'}${query}`;
    const headers = {
      'x-request-id': requestId,
      'x-request-timeout-ms': String(TIMEOUT_MS),
      'content-length': String(upload.length),
      ...(key === '' ? {} : { 'idempotency-key': key }),
    };
    const startMs = performance.now();
    const result: CallResult = {
      ...{ requestId, key, status: null, outcome: '', right: false, hasRetryAfter: false, ms: 0 },
    };
    try {
      const options = { host, port, path, headers, method: 'POST', agent: false };
      const res = await this.exchange(options, upload);
      const body = await this.read(res);
      result.status = res.statusCode ?? 0;
      result.outcome = String(res.headers['x-godwittrack-outcome'] ?? '');
      result.hasRetryAfter = res.headers['retry-after'] !== undefined;
      result.right = isRight(res, requestId, upload, body, query === '' ? null : bytes);
    } catch {
      // A broken connection; the status stays null.
    }
    result.ms = performance.now() - startMs;
    return result;
  }

  private exchange(options: http.RequestOptions, upload: Buffer): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
      const req = http.request(options, resolve);
      req.on('error', reject);
      if (this.step !== 'accepted') {
        req.end(upload);
        return;
      }
      req.write(upload.subarray(0, UPLOAD_BYTES / 2));
      void this.gate().then(() => req.end(upload.subarray(UPLOAD_BYTES / 2)));
    });
  }

  private async read(res: http.IncomingMessage): Promise<Buffer> {
    if (this.step === 'relayed' && res.statusCode === 200) await this.gate();
    const chunks: Buffer[] = [];
    for await (const chunk of res) chunks.push(chunk as Buffer);
    if (!res.complete) throw new Error('the answer broke off');
    return Buffer.concat(chunks);
  }

  private async gate(): Promise<void> {
    const { signal } = this.let;
    await timers.setTimeout(TIMEOUT_MS, undefined, { signal }).catch(() => undefined);
  }
}

function isRight(
  res: http.IncomingMessage,
  requestId: string,
  upload: Buffer,
  body: Buffer,
  bytes: number | null,
): boolean {
  if (res.statusCode !== 200 || res.headers['x-request-id'] !== requestId) return false;
  if (res.headers['x-checksum'] !== sha256(body)) return false;
  if (bytes !== null) return body.equals(Buffer.alloc(bytes, `${requestId}\n`));
  const answer = JSON.parse(body.toString()) as { requestId: string; receivedSha256: string };
  return answer.requestId === requestId && answer.receivedSha256 === sha256(upload);
}

function sha256(data: Buffer): string {
  return crypto.createHash('sha256').update(data).digest('hex');
}
