/** One request on its way to an upstream, and how that ended. */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';

/** Header names and values in turn, as received. */
export type FlatHeaders = string[];

export interface ForwardedRequest {
  requestId: ids.RequestId;
  method: string;
  /** Request target with query, unchanged. */
  target: string;
  /** End-to-end headers; those that the system sets itself are left out. */
  headers: FlatHeaders;
  body: Buffer;
  route: ids.RouteName;
  semantics: configuration.Semantics;
  priority: number;
  /** Service of the host where the request came from. */
  callerService: ids.ServiceName;
  /** Incarnation of the upstream that must run it. */
  instance: ids.InstanceId;
  targetLeftMs: number;
  deadlineLeftMs: number;
  /** Time at an upstream that its sender expects. */
  estimateMs: number;
  /** Longest wait for a slot there for which the sender knows nothing better; Infinity if none. */
  maxWaitMs: number;
}

export interface Answer {
  type: 'answer';
  status: number;
  headers: FlatHeaders;
  body: Buffer;
  /** Time at the upstream. */
  serviceMs: number;
}

/** The request has not run and will not run. */
export interface Refusal {
  type: 'refused';
  reason: string;
  retryAfterMs: number;
  /** The upstream itself refused, so the send counts against the budget for repeats. */
  reachedUpstream: boolean;
}

/** Reasons of refusals that show that the sender does not know the upstream's present state. */
export const STALE_REASONS: ReadonlySet<string> = new Set([
  'upstreamUnknown',
  'upstreamLeaving',
  'otherIncarnation',
]);

/** The request may have run. */
export interface Lost {
  type: 'lost';
  detail: string;
}

export type Outcome = Answer | Refusal | Lost;

/** Load of an upstream after an exchange. */
export interface LoadReport {
  /** Requests under way and waiting, from all nodes. */
  load: number;
  /** Usual time of such a request at this upstream; null before the first. */
  typicalMs: number | null;
}

export interface Delivery {
  outcome: Outcome;
  /** Null where the destination could not be asked. */
  report: LoadReport | null;
}

/** Where a request can be sent: the upstream beside this node, or a node beside another. */
export abstract class Destination {
  /** Never rejects. Aborting stops the request where that harms nobody. */
  abstract send(req: ForwardedRequest, signal: AbortSignal): Promise<Delivery>;
}

export function refused(reason: string, retryAfterMs: number, reachedUpstream = false): Refusal {
  return { type: 'refused', reason, retryAfterMs, reachedUpstream };
}

/** The caller left before the request was sent, so nobody waits for the answer. */
export function cancelled(): Refusal {
  return refused('cancelled', 0);
}

export function lost(detail: string): Lost {
  return { type: 'lost', detail };
}
