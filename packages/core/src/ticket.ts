/**
 * Tickets: numbered configuration changes filed by operators. A ticket carries the complete new
 * state of each resource that it changes.
 */

import * as yaml from 'yaml';
import * as z from 'zod';
import * as failures from './failures.js';
import * as hash from './hash.js';
import * as ids from './ids.js';
import * as problems from './problems.js';
import * as resources from './resources.js';

/** Maximum size of a ticket file. */
export const MAX_TICKET_BYTES = 512 * 1024;
const MAX_TICKET_RESOURCES = 500;

const changeSchema = z
  .strictObject({
    kind: z.enum(resources.KINDS),
    name: resources.resourceName,
    spec: z.record(z.string(), z.unknown()).optional(),
    deleted: z.literal(true).optional(),
  })
  .superRefine((change, ctx) => {
    if ((change.spec === undefined) === (change.deleted === undefined)) {
      ctx.addIssue({ code: 'custom', message: 'must have either spec or deleted: true' });
      return;
    }
    if (change.spec === undefined) return;
    const checked = resources.specSchemas[change.kind].safeParse(change.spec);
    for (const issue of checked.error?.issues ?? []) {
      ctx.addIssue({ ...issue, path: ['spec', ...issue.path] });
    }
  });

const ticketSchema = z
  .strictObject({
    ticket: z.number().int().min(1).max(Number.MAX_SAFE_INTEGER),
    author: z.string().trim().min(1).max(200),
    reason: z.string().trim().min(1).max(2_000),
    resources: z.array(changeSchema).min(1).max(MAX_TICKET_RESOURCES),
  })
  .superRefine((ticket, ctx) => {
    const seen = new Set<string>();
    ticket.resources.forEach((change, index) => {
      const key = resources.resourceKey(change.kind, change.name);
      if (seen.has(key)) {
        ctx.addIssue({ code: 'custom', path: ['resources', index], message: `repeats ${key}` });
      }
      seen.add(key);
    });
  });

/** New state of one resource; `spec` is null for a delete. */
export interface ResourceChange {
  kind: resources.ResourceKind;
  name: string;
  spec: resources.RawSpec | null;
  /** Hash of the spec's canonical JSON; null for a delete. */
  hash: ids.ContentHash | null;
}

/** A validated ticket. */
export class Ticket {
  readonly number: ids.TicketNumber;

  readonly author: string;

  readonly reason: string;

  readonly changes: readonly ResourceChange[];

  /** Hash over number and content; two tickets with the same digest are the same ticket. */
  readonly digest: ids.ContentHash;

  private constructor(input: z.output<typeof ticketSchema>) {
    this.number = ids.ticketNumber(input.ticket);
    this.author = input.author;
    this.reason = input.reason;
    this.changes = input.resources.map((change) => ({
      kind: change.kind,
      name: change.name,
      spec: change.spec ?? null,
      hash: change.spec === undefined ? null : hash.hashValue(change.spec),
    }));
    const content = this.changes
      .map(({ kind, name, hash: specHash }) => ({ kind, name, hash: specHash }))
      .sort((a, b) => (`${a.kind}/${a.name}` < `${b.kind}/${b.name}` ? -1 : 1));
    this.digest = hash.hashValue({ ticket: this.number, content });
  }

  /**
   * Validates a decoded ticket.
   * @throws invalidTicket with every problem found
   */
  static parse(input: unknown, locate: problems.LineLocator = () => undefined): Ticket {
    const checked = ticketSchema.safeParse(input);
    if (!checked.success) {
      throw failures.toError({
        type: 'invalidTicket',
        problems: problems.fromZod(checked.error, locate),
      });
    }
    return new Ticket(checked.data);
  }

  /**
   * Parses and validates a ticket in YAML (or JSON); problems carry line numbers.
   * @throws invalidTicket
   */
  static parseYaml(text: string): Ticket {
    if (Buffer.byteLength(text) > MAX_TICKET_BYTES) {
      const message = `is larger than ${MAX_TICKET_BYTES} bytes`;
      throw failures.toError({ type: 'invalidTicket', problems: [{ path: '', message }] });
    }
    const source = problems.parseYaml(text);
    if (source.problems.length > 0) {
      throw failures.toError({ type: 'invalidTicket', problems: source.problems });
    }
    return Ticket.parse(source.value, source.locate);
  }

  /** Plain object, as accepted by `parse`. */
  toJSON(): Record<string, unknown> {
    return {
      ticket: this.number,
      author: this.author,
      reason: this.reason,
      resources: this.changes.map(({ kind, name, spec }) =>
        spec === null ? { kind, name, deleted: true } : { kind, name, spec },
      ),
    };
  }

  toYaml(): string {
    return yaml.stringify(this.toJSON());
  }
}
