/**
 * Admission to the local upstream: its slots, then a short queue. A request that cannot be served
 * in time is refused at once.
 */

import { failures } from '@godwittrack/core';

export interface AdmissionLimits {
  slots: number;
  queueLength: number;
  queueTimeoutMs: number;
}

interface Waiter {
  priority: number;
  sequence: number;
  admit: () => void;
  refuse: (err: failures.FailureError) => void;
}

const noop = () => {};

const RETRY_AFTER_MS = 250;

export class Admission {
  private running = 0;

  private sequence = 0;

  private readonly waiting: Waiter[] = [];

  private limits: AdmissionLimits = { slots: 0, queueLength: 0, queueTimeoutMs: 0 };

  constructor(private readonly service: () => string) {}

  get inFlight(): number {
    return this.running;
  }

  get queued(): number {
    return this.waiting.length;
  }

  setLimits(limits: AdmissionLimits): void {
    this.limits = limits;
    this.admitWaiting();
  }

  /**
   * Takes a slot; call the returned function once when the request has ended.
   * @throws queueFull, deadlineExceeded, cancelled
   */
  async enter(priority: number, timeoutMs: number, signal: AbortSignal): Promise<() => void> {
    if (this.running < this.limits.slots && this.waiting.length === 0) return this.take();
    const waitMs = Math.min(timeoutMs, this.limits.queueTimeoutMs);
    if (waitMs <= 0) {
      throw failures.raise({ type: 'deadlineExceeded', timeoutMs, retryAfterMs: RETRY_AFTER_MS });
    }
    if (this.waiting.length >= this.limits.queueLength) this.makeRoom(priority);
    await this.queue(priority, waitMs, signal);
    return this.release();
  }

  /** Refuses everyone who waits, for example when the upstream has left. */
  refuseAll(failure: failures.Failure): void {
    for (const waiter of this.waiting.splice(0)) {
      waiter.refuse(failures.raise(failure));
    }
  }

  private take(): () => void {
    this.running += 1;
    return this.release();
  }

  private release(): () => void {
    let released = false;
    return () => {
      if (released) return;
      released = true;
      this.running -= 1;
      this.admitWaiting();
    };
  }

  private queueFull(): failures.FailureError {
    const service = this.service();
    return failures.raise({ type: 'queueFull', service, retryAfterMs: RETRY_AFTER_MS });
  }

  /** Sheds the newest request of the lowest priority when the new one is more important. */
  private makeRoom(priority: number): void {
    const last = this.waiting[this.waiting.length - 1];
    if (last === undefined || last.priority >= priority) throw this.queueFull();
    this.remove(last);
    last.refuse(this.queueFull());
  }

  private async queue(priority: number, waitMs: number, signal: AbortSignal): Promise<void> {
    this.sequence += 1;
    const waiter: Waiter = { priority, sequence: this.sequence, admit: noop, refuse: noop };
    const timer = setTimeout(() => waiter.refuse(this.queueFull()), waitMs);
    const cancel = () => {
      waiter.refuse(failures.raise({ type: 'cancelled', detail: 'cancelled while queued' }));
    };
    signal.addEventListener('abort', cancel, { once: true });
    const admitted = new Promise<void>((resolve, reject) => {
      waiter.admit = resolve;
      waiter.refuse = reject;
    });
    this.waiting.push(waiter);
    this.waiting.sort((a, b) => b.priority - a.priority || a.sequence - b.sequence);
    try {
      await admitted;
    } finally {
      clearTimeout(timer);
      signal.removeEventListener('abort', cancel);
      this.remove(waiter);
    }
  }

  private remove(waiter: Waiter): void {
    const index = this.waiting.indexOf(waiter);
    if (index >= 0) this.waiting.splice(index, 1);
  }

  private admitWaiting(): void {
    while (this.running < this.limits.slots) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.running += 1;
      next.admit();
    }
  }
}
