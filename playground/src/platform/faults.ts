/** Faults of the platform stand-in, changed at run time by `POST /control`. */

import * as z from 'zod';

const share = z.number().min(0).max(1);
const target = {
  probability: share,
  /** Kinds of objects affected; all when absent. */
  kinds: z.array(z.string()).optional(),
  /** The fault ends after this many calls. */
  count: z.number().int().positive().optional(),
};

export const changeSchema = z.strictObject({
  /** Destroys connections, present and new. */
  outage: z.boolean().optional(),
  /** Added before a call takes effect; it takes effect even if its caller has left by then. */
  delayMs: z.number().min(0).optional(),
  /** Uniform addition to `delayMs`. */
  delayJitterMs: z.number().min(0).optional(),
  /** Holds writes back; they take effect when this ends. */
  freezeWrites: z.boolean().optional(),
  /** Keeps watches from seeing new events until this ends. */
  freezeWatches: z.boolean().optional(),
  /** Writes take effect, then the connection is destroyed. */
  loseAnswers: z.strictObject(target).nullable().optional(),
  /** Calls are answered with 503 and have no effect. */
  errors: z.strictObject(target).nullable().optional(),
  writesPerSecond: z.number().positive().optional(),
  readsPerSecond: z.number().positive().optional(),
});

export type FaultChange = z.infer<typeof changeSchema>;
export type TargetedFault = NonNullable<FaultChange['loseAnswers']>;
