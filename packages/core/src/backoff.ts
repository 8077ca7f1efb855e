/** Jittered exponential backoff and abortable waiting. */

export interface BackoffOptions {
  /** First delay's upper bound. Default 100 ms. */
  initialMs?: number;
  /** Upper bound of any delay. Default 5,000 ms. */
  maxMs?: number;
  /** Source of randomness in [0, 1). Default `Math.random`. */
  random?: () => number;
}

const DEFAULT_INITIAL_MS = 100;
const DEFAULT_MAX_MS = 5_000;

/** Full-jitter backoff: each delay is uniform between 0 and a bound that doubles. */
export class Backoff {
  private readonly initialMs: number;

  private readonly maxMs: number;

  private readonly random: () => number;

  private attempts = 0;

  constructor(options: BackoffOptions = {}) {
    this.initialMs = options.initialMs ?? DEFAULT_INITIAL_MS;
    this.maxMs = options.maxMs ?? DEFAULT_MAX_MS;
    this.random = options.random ?? Math.random;
  }

  nextMs(): number {
    const bound = Math.min(this.maxMs, this.initialMs * 2 ** Math.min(this.attempts, 30));
    this.attempts += 1;
    return Math.ceil(this.random() * bound);
  }

  reset(): void {
    this.attempts = 0;
  }
}

/** Waits `ms`, or until `signal` aborts; never rejects. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    let timer: NodeJS.Timeout;
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
