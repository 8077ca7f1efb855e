/** Detects that the local upstream refuses connections, and when it accepts them again. */

import * as net from 'node:net';
import { backoff } from '@godwittrack/core';
import type * as localMember from '../membership/localMember.js';

const PROBE_INTERVAL_MS = 50;
const PROBE_TIMEOUT_MS = 500;

export class UpstreamHealth {
  private probing = false;

  constructor(private readonly local: localMember.LocalMember) {}

  /** Marks the upstream as unhealthy until a connection to it succeeds. */
  recordRefusedConnection(address: string): void {
    if (this.probing || this.local.upstream?.address !== address) return;
    this.probing = true;
    this.local.setHealthy(false);
    void this.probe();
  }

  private async probe(): Promise<void> {
    for (;;) {
      const address = this.local.upstream?.address;
      // A withdrawn upstream announces itself as healthy when it returns.
      if (address === undefined) break;
      if (await acceptsConnections(address)) {
        this.local.setHealthy(true);
        break;
      }
      await backoff.sleep(PROBE_INTERVAL_MS);
    }
    this.probing = false;
  }
}

async function acceptsConnections(address: string): Promise<boolean> {
  const portSeparator = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = net.connect(
      Number(address.slice(portSeparator + 1)),
      address.slice(0, portSeparator),
    );
    const settle = (accepted: boolean) => {
      socket.destroy();
      resolve(accepted);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(false));
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
  });
}
