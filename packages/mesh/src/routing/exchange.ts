/** A request that is forwarded to an upstream, and its outcome. */

import type { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as crashRecords from '../quarantine/crashRecords.js';

/** Alternating header names and values, as in Node's `rawHeaders`. */
export type FlatHeaders = string[];

export interface ForwardedRequest {
  requestId: ids.RequestId;
  method: string;
  /** Request target with query, unchanged. */
  target: string;
  /** End-to-end headers, without those that the mesh sets itself. */
  headers: FlatHeaders;
  body: Buffer;
  route: ids.RouteName;
  semantics: configuration.Semantics;
  /** Priority of the route. */
  priority: number;
  /** Null for requests without a customer. */
  customer: ids.CustomerName | null;
  /** Precedes `priority`; 0 where the configuration has no customers. */
  customerPriority: number;
  /** Service on the host from which the request came. */
  callerService: ids.ServiceName;
  /** The only incarnation of the upstream that may run it. */
  instance: ids.InstanceId;
  targetLeftMs: number;
  deadlineLeftMs: number;
  /** Service time that the sender expects. */
  estimateMs: number;
  /**
   * Longest wait for a slot and the uplink that the sender accepts; beyond it, it prefers another node.
   * Infinity if it has no other one left.
   */
  maxWaitMs: number;
  /** What the sender knows of upstreams that ended while they ran it; null if it is no suspect. */
  crashReport: crashRecords.CrashReport | null;
  /** Whether another host has sent it, so that the answer crosses the uplink of the upstream's host. */
  fromOtherHost: boolean;
  /** Whether home regions restrict the upstream, so that no other node may get the body. */
  isConfined: boolean;
}

export interface Answer {
  type: 'answer';
  status: number;
  headers: FlatHeaders;
  body: Buffer;
  /** Service time, from the start of the send to the upstream until its answer is complete. */
  serviceMs: number;
}

/** The request has not been run and will not be run, so it may be sent again. */
export interface Refusal {
  type: 'refused';
  reason: string;
  retryAfterMs: number;
  /** The upstream itself refused, so that another send is charged to the retry budget. */
  reachedUpstream: boolean;
}

/** Reasons of refusals that show that the sender's view of the upstream's state is out of date. */
export const STALE_STATE_REASONS: ReadonlySet<string> = new Set([
  'upstreamUnknown',
  'upstreamLeaving',
  'otherIncarnation',
]);

/** No usable answer; the request may have been run. */
export interface Lost {
  type: 'lost';
  detail: string;
  /** End of the upstream while it ran the request, if that is why there is no answer. */
  end?: UpstreamEnd;
}

export interface UpstreamEnd {
  id: ids.UpstreamEndId;
  /** Whether the request was a suspect when its run began; see `Quarantine`. */
  wasSuspect: boolean;
}

export type Outcome = Answer | Refusal | Lost;

/** Load of an upstream after an exchange. */
export interface LoadReport {
  /** Running and waiting requests, from all nodes. */
  load: number;
  /** Average service time of the route at this upstream; null before the first sample. */
  averageServiceMs: number | null;
  /** Time after which the uplink of the host will have sent all answers handed over so far. */
  transferWaitMs: number;
}

export interface Delivery {
  outcome: Outcome;
  /** Null if the destination could not be reached. */
  report: LoadReport | null;
}

/** Where a request can be sent: the local upstream, or a node that sends it to its own. */
export abstract class Destination {
  /** Never rejects. An abort stops the request unless it has started and may run only once. */
  abstract send(req: ForwardedRequest, signal: AbortSignal): Promise<Delivery>;
}

export function refused(reason: string, retryAfterMs: number, reachedUpstream = false): Refusal {
  return { type: 'refused', reason, retryAfterMs, reachedUpstream };
}

/** The caller disconnected before the request was sent. */
export function cancelled(): Refusal {
  return refused('cancelled', 0);
}

export function lost(detail: string, end?: UpstreamEnd): Lost {
  return end === undefined ? { type: 'lost', detail } : { type: 'lost', detail, end };
}
