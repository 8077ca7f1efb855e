/**
 * Roster of a failure domain: the members last seen there, stored in the platform so that a
 * starting node finds other nodes. Written by the domain's relay, only on change and at a low rate.
 */

import { backoff, failures } from '@godwittrack/core';
import type { objectStore } from '@godwittrack/platform';
import type { distribution } from '@godwittrack/protocol';
import * as z from 'zod';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import type * as settings from '../settings.js';
import type * as contacts from './contacts.js';
import type * as memberTable from './memberTable.js';

const rosterSchema = z.object({
  members: z.array(
    z.object({
      node: z.string(),
      incarnation: z.number(),
      region: z.string(),
      failureDomain: z.string(),
      peerAddress: z.string(),
      externalPeerAddress: z.string(),
      adminAddress: z.string(),
    }),
  ),
});

type RosterMember = z.output<typeof rosterSchema>['members'][number];

/** Delay of the first write after the start; later ones follow at the roster interval. */
const FIRST_WRITE_DELAY_MS = 200;

/** Returns the members of a stored roster; an invalid roster counts as empty. */
export function parseRoster(value: unknown): distribution.Member[] {
  const checked = rosterSchema.safeParse(value);
  if (!checked.success) return [];
  return checked.data.members.map((member) => ({
    ...member,
    revision: 0,
    upstream: undefined,
    draining: false,
    ready: false,
    parent: '',
    startedAtMs: 0,
  }));
}

export class RosterWriter {
  /** Members last written, as JSON; empty before the first write, `merged` after a merging one. */
  private written = '';

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly store: objectStore.ObjectStore,
    private readonly table: memberTable.MemberTable,
    private readonly peerContacts: contacts.Contacts,
    private readonly log: logging.Logger,
  ) {}

  /** Runs until `signal` aborts; writes while this node is not a leaf. */
  async run(signal: AbortSignal): Promise<void> {
    await backoff.sleep(FIRST_WRITE_DELAY_MS, signal);
    while (!signal.aborted) {
      try {
        await this.writeIfChanged(signal);
      } catch (err) {
        this.log.debug({ failure: failures.fromError(err) }, 'Roster not written.');
      }
      const fraction = 0.75 + Math.random() / 4;
      await backoff.sleep(constants.ROSTER_INTERVAL_MS * fraction, signal);
    }
  }

  private async writeIfChanged(signal: AbortSignal): Promise<void> {
    const { role } = this.peerContacts.attachment();
    if (role === 'leaf') return;
    const members = this.domainMembers();
    const text = JSON.stringify(members);
    if (text === this.written) return;
    const { failureDomain } = this.cfg;
    const held = await this.store.get('roster', failureDomain, signal);
    const others = parseRoster(held?.value);
    others.forEach((member) => this.peerContacts.addHint(member));
    const entries =
      this.written === '' ? mergeRosters(others.map(toRosterMember), members) : members;
    await this.store.put(
      'roster',
      failureDomain,
      { members: entries },
      held === null ? { type: 'absent' } : { type: 'version', version: held.version },
      signal,
    );
    // The first write keeps the stored members, who may not have joined yet. If that added any, the
    // next round writes the current members only.
    this.written = this.written === '' && entries.length > members.length ? 'merged' : text;
  }

  private domainMembers(): RosterMember[] {
    return this.table.all
      .filter((member) => member.failureDomain === this.cfg.failureDomain)
      .map(toRosterMember)
      .sort((a, b) => (a.node < b.node ? -1 : 1));
  }
}

function toRosterMember(member: distribution.Member): RosterMember {
  const { node, incarnation, region, failureDomain } = member;
  const { peerAddress, externalPeerAddress, adminAddress } = member;
  return {
    node,
    incarnation,
    region,
    failureDomain,
    peerAddress,
    externalPeerAddress,
    adminAddress,
  };
}

function mergeRosters(held: RosterMember[], own: RosterMember[]): RosterMember[] {
  const byNode = new Map(held.map((member) => [member.node, member]));
  own.forEach((member) => byNode.set(member.node, member));
  return [...byNode.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
}
