import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { failures } from '@godwittrack/core';
import * as onceGuard from '../onceGuard.js';
import * as recordedBody from '../recordedBody.js';
import * as replayBody from '../replayBody.js';

class SlowClaim extends onceGuard.OnceClaim {
  recorded: onceGuard.RecordedResponse | null = null;

  finishRecording = () => {};

  override beginDispatch(): boolean {
    return true;
  }

  override async complete(response: onceGuard.RecordedResponse): Promise<void> {
    this.recorded = response;
    await new Promise<void>((resolve) => {
      this.finishRecording = resolve;
    });
  }

  override release(): failures.Failure {
    return { type: 'notRun', detail: '', retryAfterMs: 0 };
  }
}

const HEAD = { status: 200, headers: [], requestId: '1', upstreamMs: 1 };

async function* chunksOf(...sizes: number[]): AsyncIterable<Uint8Array> {
  for (const size of sizes) yield Buffer.alloc(size, size);
}

async function flushMicrotasks(): Promise<void> {
  for (let n = 0; n < 20; n++) await Promise.resolve();
}

describe('recorded body', () => {
  it('yields nothing of a small response before its record is stored', async () => {
    const claim = new SlowClaim();
    const body = new recordedBody.RecordedBody(HEAD, chunksOf(3, 4), claim);
    let hasYielded = false;
    const first = body.next().then((result) => {
      hasYielded = true;
      return result;
    });
    await flushMicrotasks();
    assert.equal(claim.recorded?.body?.length, 7);
    assert.equal(hasYielded, false);
    claim.finishRecording();
    assert.equal((await first).value?.length, 3);
    assert.equal((await body.next()).value?.length, 4);
    assert.equal((await body.next()).done, true);
  });

  it('streams a response that is too large to be recorded, and records it without its body', async () => {
    const claim = new SlowClaim();
    const size = replayBody.REPLAY_LIMIT_BYTES;
    const body = new recordedBody.RecordedBody(HEAD, chunksOf(size, 1, 5), claim);
    const sizes = [await body.next(), await body.next(), await body.next()];
    assert.deepEqual(
      sizes.map(({ value }) => value?.length),
      [size, 1, 5],
    );
    assert.equal(claim.recorded, null);
    const end = body.next();
    await flushMicrotasks();
    assert.deepEqual(claim.recorded, { status: 200, headers: [], body: null });
    claim.finishRecording();
    assert.equal((await end).done, true);
  });

  it('records nothing when the response is cut off, because its outcome is unknown', async () => {
    const claim = new SlowClaim();
    const broken = async function* broken(): AsyncIterable<Uint8Array> {
      yield Buffer.alloc(2);
      throw new Error('cut');
    };
    const body = new recordedBody.RecordedBody(HEAD, broken(), claim);
    await assert.rejects(body.next(), /cut/);
    assert.equal(claim.recorded, null);
  });
});
