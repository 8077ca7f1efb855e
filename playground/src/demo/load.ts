/** Sends light load through the nodes of a deployment and counts the answers by version. */

import * as timers from 'node:timers/promises';
import got from 'got';
import type * as deployment from '../harness/deployment.js';

const CALLERS = 6;
const REQUEST_INTERVAL_MS = 8;
const SERVER_ERROR = 500;

export class DemoLoad {
  private running = true;

  private readonly callers: Promise<void>[];

  /** Answers by upstream version. */
  readonly answers = new Map<string, number>();

  failed = 0;

  constructor(nodes: readonly deployment.Server[], target: string) {
    this.callers = Array.from({ length: CALLERS }, (_, index) => this.call(nodes, target, index));
  }

  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.callers);
  }

  private async call(
    nodes: readonly deployment.Server[],
    target: string,
    index: number,
  ): Promise<void> {
    for (let n = index; this.running; n++) {
      const node = nodes[n % nodes.length];
      if (node === undefined) return;
      const options = { throwHttpErrors: false, retry: { limit: 0 } } as const;
      try {
        const res = await got(`${node.callerUrl}${target}`, options);
        const version = String(res.headers['x-upstream-version'] ?? 'none');
        this.answers.set(version, (this.answers.get(version) ?? 0) + 1);
        if (res.statusCode >= SERVER_ERROR) this.failed += 1;
      } catch {
        this.failed += 1;
      }
      await timers.setTimeout(REQUEST_INTERVAL_MS);
    }
  }
}
