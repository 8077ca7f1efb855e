/** Faults of the platform stand-in, which `POST /control` changes at run time. */

import * as z from 'zod';

const fraction = z.number().min(0).max(1);
const targetedFaultFields = {
  probability: fraction,
  /** Kinds of objects affected; all when absent. */
  kinds: z.array(z.string()).optional(),
  /** The fault ends after it has affected this many calls. */
  count: z.number().int().positive().optional(),
};

export const changeSchema = z.strictObject({
  /** Destroys all open and new connections. */
  outage: z.boolean().optional(),
  /** Added before a call takes effect, which it does even if its caller has disconnected. */
  delayMs: z.number().min(0).optional(),
  /** Upper bound of a uniformly random addition to `delayMs`. */
  delayJitterMs: z.number().min(0).optional(),
  /** Holds writes; they take effect when this is switched off. */
  freezeWrites: z.boolean().optional(),
  /** Withholds new events from watches until this is switched off. */
  freezeWatches: z.boolean().optional(),
  /** Writes take effect, then the connection is destroyed. */
  loseAnswers: z.strictObject(targetedFaultFields).nullable().optional(),
  /** Calls are answered with 503 and have no effect. */
  errors: z.strictObject(targetedFaultFields).nullable().optional(),
  writesPerSecond: z.number().positive().optional(),
  readsPerSecond: z.number().positive().optional(),
});

export type FaultChange = z.infer<typeof changeSchema>;
export type TargetedFault = NonNullable<FaultChange['loseAnswers']>;
