/** Change notifications without payload; a notified task looks up itself what has changed. */

/** A latch for one waiting task; a notification between two waits is not lost. */
export class Wakeup {
  private pending = false;

  private resolve: (() => void) | null = null;

  notify(): void {
    if (this.resolve === null) {
      this.pending = true;
      return;
    }
    const { resolve } = this;
    this.resolve = null;
    resolve();
  }

  /** Resolves on the next `notify` (at once if there was one since the last wait) or after `ms`. */
  async wait(ms: number): Promise<void> {
    if (this.pending) {
      this.pending = false;
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.resolve = null;
        resolve();
      }, ms);
      this.resolve = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}

export type Listener = () => void;

/** Set of listeners for one kind of change. */
export class ChangeSignal {
  private readonly listeners = new Set<Listener>();

  /** Returns a function that removes the listener. */
  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  notify(): void {
    [...this.listeners].forEach((listener) => listener());
  }
}
