/** Reads counters of the simulated link and platform, and the CPU time and memory of processes. */

import * as fs from 'node:fs';
import type { harness } from '@godwittrack/playground';

/** Kernel clock ticks per second; `/proc` gives times in ticks. */
const TICKS_PER_S = 100;

export interface Counters {
  atMs: number;
  linkBytes: number;
  platformCalls: number;
}

export async function readCounters(deployment: harness.deployment.Deployment): Promise<Counters> {
  const [link, platform] = await Promise.all([
    deployment.linkControl.stats(),
    deployment.platformControl.stats(),
  ]);
  const calls = Object.values(platform.calls).flatMap((kinds) => Object.values(kinds));
  return {
    atMs: performance.now(),
    linkBytes: link.directions.ab.bytes + link.directions.ba.bytes,
    platformCalls: calls.reduce((sum, count) => sum + count, 0),
  };
}

export interface ProcessUsage {
  cpuMs: number;
  rssMb: number;
  /** Bytes written to sockets and files, which includes messages to other nodes and logs. */
  writtenBytes: number;
}

/** Total CPU time, resident memory and bytes written of a running process. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
  const rssKb = Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0);
  const io = fs.readFileSync(`/proc/${pid}/io`, 'utf8');
  const writtenBytes = Number(/^wchar: (\d+)/m.exec(io)?.[1] ?? 0);
  return { writtenBytes, cpuMs: (ticks * 1_000) / TICKS_PER_S, rssMb: rssKb / 1_024 };
}
