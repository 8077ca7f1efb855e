/**
 * Roster of a failure domain: the members last seen there, kept in the platform as the point where
 * a starting node finds others. Written by the domain's relay, rarely and only on change.
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

/** First write after start or after a change of members; later ones wait for the interval. */
const FIRST_WRITE_MS = 200;

/** Members of a stored roster; an unreadable one counts as empty. */
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
  private written = '';

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly store: objectStore.ObjectStore,
    private readonly table: memberTable.MemberTable,
    private readonly known: contacts.Contacts,
    private readonly log: logging.Logger,
  ) {}

  /** Runs until `signal` aborts; writes while this node ranks first in its failure domain. */
  async run(signal: AbortSignal): Promise<void> {
    await backoff.sleep(FIRST_WRITE_MS, signal);
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
    const { role } = this.known.attachment();
    if (role === 'leaf') return;
    const members = this.domainMembers();
    const text = JSON.stringify(members);
    if (text === this.written) return;
    const { failureDomain } = this.cfg;
    const held = await this.store.get('roster', failureDomain, signal);
    const others = parseRoster(held?.value);
    others.forEach((member) => this.known.addHint(member));
    const fresh = this.written === '' ? merge(others.map(toRosterMember), members) : members;
    await this.store.put(
      'roster',
      failureDomain,
      { members: fresh },
      held === null ? { type: 'absent' } : { type: 'version', version: held.version },
      signal,
    );
    // After a merge the next round writes the live members only, once the others had time to join.
    this.written = this.written === '' && fresh.length > members.length ? 'merged' : text;
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

function merge(held: RosterMember[], own: RosterMember[]): RosterMember[] {
  const byNode = new Map(held.map((member) => [member.node, member]));
  own.forEach((member) => byNode.set(member.node, member));
  return [...byNode.values()].sort((a, b) => (a.node < b.node ? -1 : 1));
}
