/** Body of an HTTP message, buffered ahead of its consumer up to a limit. */

import type * as http from 'node:http';
import type { failures } from '@godwittrack/core';

/**
 * A response up to this size is read from the upstream at once, so that it does not hold a slot
 * until a slow caller has read it.
 */
const READ_AHEAD_BYTES = 256 * 1024;

export class IncomingBody implements AsyncIterableIterator<Uint8Array> {
  private readonly chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private paused = false;

  private ended = false;

  private failure: failures.FailureError | null = null;

  private wake: (() => void) | null = null;

  /**
   * @param createFailure builds the error for a message that was cut off
   * @param onEnd called once when the message has arrived completely or was cut off
   */
  constructor(
    private readonly source: http.IncomingMessage,
    private readonly createFailure: (detail: string) => failures.FailureError,
    private readonly onEnd: () => void = () => undefined,
  ) {
    source.on('data', (chunk: Buffer) => this.append(chunk));
    source.on('end', () => {
      this.finish(source.complete ? null : 'the connection closed before the end of the message');
    });
    source.on('error', (err) => this.finish(err.message));
    source.on('close', () => this.finish('the connection closed'));
  }

  /** True when the complete message has arrived. */
  get isComplete(): boolean {
    return this.ended && this.failure === null;
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  async next(): Promise<IteratorResult<Uint8Array>> {
    while (true) {
      const chunk = this.chunks.shift();
      if (chunk !== undefined) {
        this.bufferedBytes -= chunk.length;
        this.resume();
        return { done: false, value: chunk };
      }
      if (this.failure !== null) throw this.failure;
      if (this.ended) return { done: true, value: undefined };
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
  }

  /** Discards the rest; closes the connection if the message has not arrived completely. */
  async return(): Promise<IteratorResult<Uint8Array>> {
    this.chunks.length = 0;
    if (!this.ended) this.source.destroy();
    return { done: true, value: undefined };
  }

  private append(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes >= READ_AHEAD_BYTES && !this.paused) {
      this.paused = true;
      this.source.pause();
    }
    this.notify();
  }

  private resume(): void {
    if (!this.paused || this.bufferedBytes >= READ_AHEAD_BYTES / 2) return;
    this.paused = false;
    this.source.resume();
  }

  private finish(problem: string | null): void {
    if (this.ended) return;
    this.ended = true;
    this.failure = problem === null ? null : this.createFailure(problem);
    this.onEnd();
    this.notify();
  }

  private notify(): void {
    this.wake?.();
    this.wake = null;
  }
}
