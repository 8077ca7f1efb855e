/**
 * Schemas of the responses of the administration API. Fields that are not listed here are kept, so
 * that `--json` prints everything that a newer node sends.
 */

import * as z from 'zod';
import type { failures } from '@godwittrack/core';

/** Largest time value of a `Date`, in milliseconds. */
const MAX_TIME_MS = 8.64e15;

const timeMs = z.number().int().min(0).max(MAX_TIME_MS);
const count = z.number().int().min(0);
const text = z.string();

const changedResource = z.looseObject({
  resource: text,
  action: z.enum(['create', 'replace', 'delete', 'unchanged']),
});

const acceptedTicket = z.looseObject({
  ticket: count,
  version: count,
  author: text,
  reason: text,
  atMs: timeMs,
  resources: z.array(text),
});

const serviceStatus = z.looseObject({
  service: text,
  stable: text.nullish(),
  target: text.nullish(),
  phase: text.nullish(),
  sharePct: z.number().nullish(),
  deadline: text.nullish(),
  summary: text.nullish(),
});

export const rollout = z.looseObject({
  id: text,
  service: text,
  ticket: count,
  phase: z.enum(['planned', 'canary', 'stepping', 'soaking', 'done', 'takenBack', 'superseded']),
  sharePct: z.number(),
  stable: text.nullish(),
  target: text.nullish(),
  deadline: text.nullish(),
  expectedEnd: text.nullish(),
  reason: text.nullish(),
  evidence: z.unknown().optional(),
  history: z
    .array(
      z.looseObject({
        atMs: timeMs,
        phase: text,
        sharePct: z.number().nullish(),
        reason: text.nullish(),
      }),
    )
    .nullish(),
});

export const filedTicket = z.looseObject({
  ticket: count,
  version: count,
  repeated: z.boolean(),
  atMs: timeMs,
});

export const checkedTicket = z.looseObject({
  ticket: count,
  valid: z.literal(true),
  wouldBeVersion: count,
  changes: z.array(changedResource),
});

export const ticketList = z.looseObject({ tickets: z.array(acceptedTicket) });

export const ticketDetail = acceptedTicket.extend({
  changes: z.array(
    z.looseObject({
      resource: text,
      spec: z.record(z.string(), z.unknown()).nullable(),
      current: z.boolean(),
    }),
  ),
});

export const status = z.looseObject({
  node: text,
  region: text,
  failureDomain: text,
  configVersion: count,
  platform: z.looseObject({ reachable: z.boolean(), ageMs: z.number().nullable() }),
  path: z.array(text),
  members: z.looseObject({ known: count, ready: count, atVersion: count }),
  services: z.array(serviceStatus),
  summary: text,
});

export const rolloutList = z.looseObject({ rollouts: z.array(rollout) });

export const upstreamList = z.looseObject({
  upstreams: z.array(
    z.looseObject({
      node: text,
      service: text,
      version: text,
      slots: count,
      draining: z.boolean(),
      healthy: z.boolean(),
      region: text,
      failureDomain: text,
    }),
  ),
});

export const nodeList = z.looseObject({
  nodes: z.array(
    z.looseObject({
      node: text,
      region: text,
      failureDomain: text,
      incarnation: z.union([z.number(), text]),
      ready: z.boolean(),
      draining: z.boolean(),
      /** Node that it receives its configuration from; empty if it watches the platform itself. */
      parent: text,
    }),
  ),
});

export const audit = z.looseObject({
  entries: z.array(
    z.looseObject({
      atMs: timeMs,
      actor: text,
      action: text,
      ticket: count.nullish(),
      resources: z.array(text).nullish(),
      version: z.union([count, text]).nullish(),
      outcome: text,
      detail: text.nullish(),
    }),
  ),
});

export type FiledTicket = z.output<typeof filedTicket>;
export type CheckedTicket = z.output<typeof checkedTicket>;
export type TicketList = z.output<typeof ticketList>;
export type TicketDetail = z.output<typeof ticketDetail>;
export type Status = z.output<typeof status>;
export type Rollout = z.output<typeof rollout>;
export type RolloutList = z.output<typeof rolloutList>;
export type UpstreamList = z.output<typeof upstreamList>;
export type NodeList = z.output<typeof nodeList>;
export type Audit = z.output<typeof audit>;

const problem = z.object({
  path: text,
  message: text,
  line: count.optional(),
  hint: text.optional(),
});
const problems = z.array(problem);
const retryAfterMs = z.number();

/** Failures that the API documents; their fields are those of `core/failures.ts`. */
const knownFailure = z.discriminatedUnion('type', [
  z.object({ type: z.literal('invalidTicket'), problems }),
  z.object({ type: z.literal('invalidRequest'), problems }),
  z.object({ type: z.literal('invalidConfiguration'), problems }),
  z.object({
    type: z.literal('ticketConflict'),
    ticket: count,
    resource: text,
    heldTicket: count,
    detail: text,
  }),
  z.object({ type: z.literal('ticketReused'), ticket: count, detail: text }),
  z.object({ type: z.literal('ticketNotFound'), ticket: count }),
  z.object({ type: z.literal('objectNotFound'), kind: text, name: text }),
  z.object({ type: z.literal('acceptContention'), attempts: count }),
  z.object({ type: z.literal('bodyTooLarge'), limitBytes: count }),
  z.object({ type: z.literal('platformUnavailable'), operation: text, detail: text }),
  z.object({ type: z.literal('platformOverloaded'), operation: text, retryAfterMs }),
  z.object({ type: z.literal('platformOutcomeUnknown'), operation: text, detail: text }),
  z.object({ type: z.literal('notReady'), detail: text, retryAfterMs }),
  z.object({ type: z.literal('draining'), node: text, retryAfterMs }),
  z.object({ type: z.literal('internal'), detail: text }),
]);

const errorResponse = z.object({ error: z.looseObject({ type: text, message: text.optional() }) });

/** Parses a failure. An unknown type becomes `internal`; returns null for any other body. */
export function parseFailure(body: unknown): failures.Failure | null {
  const outer = errorResponse.safeParse(body);
  if (!outer.success) return null;
  const { error } = outer.data;
  const known = knownFailure.safeParse(error);
  if (known.success) return known.data;
  return { type: 'internal', detail: `${error.type}: ${error.message ?? 'no message'}` };
}
