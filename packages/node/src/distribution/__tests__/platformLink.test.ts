import * as assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { clock, ids } from '@godwittrack/core';
import { distribution } from '@godwittrack/protocol';
import * as contacts from '../../membership/contacts.js';
import * as memberTable from '../../membership/memberTable.js';
import type * as settings from '../../settings.js';
import * as compression from '../compression.js';
import * as platformLink from '../platformLink.js';
import * as peerChannels from '../peerChannels.js';

describe('platform link', () => {
  // Guards against a delayed heartbeat that makes an old contact look recent.
  it('ignores contacts older than the last one', () => {
    const time = new clock.ManualClock(1_000);
    const link = new platformLink.PlatformLink('a', time);
    link.confirm(3, 900);
    time.advance(5_000);
    link.confirm(2, 800);
    assert.equal(link.contactAtMs, 900);
    assert.equal(link.ageMs, 5_100);
    assert.equal(link.platformVersion, 3);
  });
});

describe('compression', () => {
  // Guards against corruption of large messages and against overhead on small ones.
  it('restores large messages and does not compress small ones', () => {
    const members = [...Array(50).keys()].map((n) => ({ node: `n${n}`, incarnation: 1 }));
    const large = distribution.ChildMessage.fromPartial({
      message: { $case: 'announce', value: { removals: members } },
    });
    const packed = compression.compressChildMessage(large);
    assert.equal(packed.message?.$case, 'compressed');
    assert.deepEqual(compression.decompressChildMessage(packed, 'peer'), large);
    const small = distribution.ChildMessage.fromPartial({
      message: { $case: 'heartbeat', value: { sentMs: 1 } },
    });
    assert.equal(compression.compressChildMessage(small), small);
    const broken = distribution.ChildMessage.fromPartial({
      message: { $case: 'compressed', value: { gzip: Buffer.from('no') } },
    });
    assert.throws(() => compression.decompressChildMessage(broken, 'peer'), /protocolViolation/);
  });
});

describe('peer channels', () => {
  // Guards against channels to replaced hosts that are never closed.
  it('closes channels that are neither connected nor in use', () => {
    const channels = new peerChannels.PeerChannels();
    channels.get('127.0.0.1:1');
    channels.closeIdle(60_000);
    assert.equal(channels.size, 1);
    channels.closeIdle(-1);
    assert.equal(channels.size, 0);
  });
});

describe('contacts', () => {
  const time = new clock.ManualClock(1);
  const cfg = {
    ...{ node: 'n0', region: 'r', failureDomain: 'd', homeRegion: 'r' },
  } as unknown as settings.ResolvedSettings;
  const memberOf = (node: string, change: Partial<distribution.Member> = {}) =>
    distribution.Member.fromPartial({
      ...{ node, incarnation: 1, revision: 1, region: 'r', failureDomain: 'd', ready: true },
      ...change,
    });
  const createContacts = () => {
    const table = new memberTable.MemberTable(ids.regionName('r'), time);
    ['n0', 'n1', 'n2', 'n3'].forEach((node) => table.merge(memberOf(node), ''));
    return { table, known: new contacts.Contacts(cfg, table, time) };
  };

  // Guards against children that stay attached to a draining relay until it closes their streams.
  it('offers no draining node as parent, and ranks this node last while it drains', () => {
    const { table, known } = createContacts();
    const [best] = [...known.others()];
    assert.ok(best);
    table.merge(memberOf(best.node, { draining: true, revision: 2 }), '');
    assert.ok(known.others().every(({ node }) => node !== best.node));
    table.merge(memberOf('n0', { draining: true, revision: 2 }), '');
    assert.notEqual(known.attachment().role, 'root');
    assert.deepEqual(
      new Set(known.attachment().parents.map(({ node }) => node)),
      new Set(known.others().map(({ node }) => node)),
    );
  });

  // Guards against a root that keeps its rank although it alone has lost the platform.
  it('ranks this node last for a while after a demotion', () => {
    const { table, known } = createContacts();
    ['n1', 'n2', 'n3'].forEach((node) => table.remove(node, 1, ''));
    assert.equal(known.attachment().role, 'root');
    table.merge(memberOf('n1', { incarnation: 2 }), '');
    known.demoteSelf();
    assert.notEqual(known.attachment().role, 'root');
    time.advance(20_000);
    table.remove('n1', 2, '');
    assert.equal(known.attachment().role, 'root');
  });
});
