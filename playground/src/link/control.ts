/** Control port of the link stand-in. */

import * as z from 'zod';
import * as http from '../common/http.js';
import type * as links from './link.js';

export const mappingSchema = z.strictObject({
  name: z.string().min(1),
  listen: z.string(),
  target: z.string(),
  opens: z.enum(['ab', 'ba']),
});

function perDirection<T extends z.ZodType>(value: T) {
  return z.strictObject({ ab: value.optional(), ba: value.optional() }).optional();
}

export const changeSchema = z.strictObject({
  /** Destroys the connections opened in a direction and refuses new ones. */
  cut: perDirection(z.boolean()),
  /** Holds all bytes sent in a direction until it is switched off. */
  freeze: perDirection(z.boolean()),
  delayMs: perDirection(z.number().min(0)),
  bitsPerSecond: perDirection(z.number().positive()),
  add: z.array(mappingSchema).optional(),
  /** Names of mappings. */
  remove: z.array(z.string()).optional(),
});

export type LinkChange = z.infer<typeof changeSchema>;

const DIRECTIONS = ['ab', 'ba'] as const;

export function createLinkControl(link: links.Link, address: string): Promise<http.ControlServer> {
  return http.createControlServer({
    address,
    schema: changeSchema,
    apply: (change) => apply(link, change),
    views: { stats: () => link.stats() },
  });
}

async function apply(link: links.Link, change: LinkChange): Promise<void> {
  for (const direction of DIRECTIONS) {
    const { cut, freeze, delayMs, bitsPerSecond } = change;
    if (delayMs?.[direction] !== undefined) link.setDelayMs(direction, delayMs[direction]);
    const rate = bitsPerSecond?.[direction];
    if (rate !== undefined) link.setBitsPerSecond(direction, rate);
    if (freeze?.[direction] !== undefined) link.setFrozen(direction, freeze[direction]);
    if (cut?.[direction] !== undefined) await link.setCut(direction, cut[direction]);
  }
  change.remove?.forEach((name) => link.remove(name));
  for (const mapping of change.add ?? []) await link.add(mapping);
}
