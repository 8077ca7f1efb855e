/** Wakes waiting tasks when something changed; each task then looks for what it has to send. */

/** A latch that a task waits on; wake-ups between two waits are not lost. */
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

  /** Returns on the next `notify`, at once if one came since the last wait, or after `ms`. */
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
