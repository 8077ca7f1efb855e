/** Calls of the request cells: held at one step while a fault is injected, then completed. */

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
  isCorrect: boolean;
  hasRetryAfter: boolean;
  ms: number;
}

const TIMEOUT_MS = 4_000;
/** Exceeds the total buffer size between upstream and caller, so that the answer stalls. */
const LARGE_ANSWER_BYTES = 12_000_000;
const UPLOAD_BYTES = 20_000;

/** Calls that pause at one step until `release` is called. */
export class HeldCalls {
  private readonly releasing: AbortController = new AbortController();

  private readonly pending: Promise<CallResult>[] = [];

  constructor(
    private readonly url: string,
    private readonly step: Step,
  ) {}

  /** Sends `count` repeatable requests and `count` requests with `once` semantics. */
  send(count: number, prefix: string): void {
    for (let n = 0; n < count; n++) {
      this.pending.push(this.call(`${prefix}-safe-${n}`, ''));
      this.pending.push(this.call(`${prefix}-once-${n}`, `${prefix}-key-${n}`));
    }
  }

  release(): void {
    this.releasing.abort();
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
      ...{
        requestId,
        key,
        status: null,
        outcome: '',
        isCorrect: false,
        hasRetryAfter: false,
        ms: 0,
      },
    };
    try {
      const options = { host, port, path, headers, method: 'POST', agent: false };
      const res = await this.sendRequest(options, upload);
      const body = await this.readBody(res);
      result.status = res.statusCode ?? 0;
      result.outcome = String(res.headers['x-godwittrack-outcome'] ?? '');
      result.hasRetryAfter = res.headers['retry-after'] !== undefined;
      result.isCorrect = isCorrectAnswer(res, requestId, upload, body, query === '' ? null : bytes);
    } catch {
      // The connection broke; the status stays null.
    }
    result.ms = performance.now() - startMs;
    return result;
  }

  private sendRequest(options: http.RequestOptions, upload: Buffer): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
      const req = http.request(options, resolve);
      req.on('error', reject);
      if (this.step !== 'accepted') {
        req.end(upload);
        return;
      }
      req.write(upload.subarray(0, UPLOAD_BYTES / 2));
      void this.waitForRelease().then(() => req.end(upload.subarray(UPLOAD_BYTES / 2)));
    });
  }

  private async readBody(res: http.IncomingMessage): Promise<Buffer> {
    if (this.step === 'relayed' && res.statusCode === 200) await this.waitForRelease();
    const chunks: Buffer[] = [];
    for await (const chunk of res) chunks.push(chunk as Buffer);
    if (!res.complete) throw new Error('the answer was truncated');
    return Buffer.concat(chunks);
  }

  private async waitForRelease(): Promise<void> {
    const { signal } = this.releasing;
    await timers.setTimeout(TIMEOUT_MS, undefined, { signal }).catch(() => undefined);
  }
}

function isCorrectAnswer(
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
