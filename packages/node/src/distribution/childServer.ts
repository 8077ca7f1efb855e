/**
 * Serves the streams of child nodes: for each child, one task reads its reports and another sends
 * it the changes of the replicated state.
 */

import type * as grpc from '@grpc/grpc-js';
import { backoff, failures, ids } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import type * as contacts from '../membership/contacts.js';
import type * as settings from '../settings.js';
import * as compression from './compression.js';
import type * as fleetState from './fleetState.js';
import type * as peerProbe from './peerProbe.js';
import * as streams from './streams.js';

type SyncCall = grpc.ServerDuplexStream<distribution.ChildMessage, distribution.ParentMessage>;
type ChildMessage = NonNullable<distribution.ChildMessage['message']>;
type ParentMessage = NonNullable<distribution.ParentMessage['message']>;

const HELLO_TIMEOUT_MS = 2_000;
/** Joins accepted per second; children above this rate are told to retry later. */
const JOINS_PER_SECOND = 200;
const SWEEP_INTERVAL_MS = 500;
const JOIN_RETRY_AFTER_MS = 1_000;

/**
 * Last `sentMs` of the child and its time of arrival here. Heartbeats return it, so that the child
 * can convert contact times to its own clock.
 */
interface Echo {
  sentMs: number;
  arrivedAtMs: number;
}

interface Session {
  echo: Echo;
  /** Monotonic time at which the hello arrived. */
  joinedAtMs: number;
  hello: distribution.Hello;
  call: SyncCall;
  ended: AbortController;
}

/** Last contact with the platform, as heartbeats report it. */
interface PlatformContact {
  atMs: number | null;
  platformVersion: number;
}

/** What one child has been sent so far. */
interface StreamPosition {
  configVersion: number;
  manifestDigest: string;
  members: number;
  rollouts: number;
  placements: number;
  vetoes: number;
  progress: string;
  path: string;
}

interface Refusal {
  reason: string;
  /** 0 tells the child to choose another parent. */
  retryAfterMs: number;
}

export class ChildServer {
  private readonly sessions = new Map<string, Session>();

  private readonly startMs: number;

  private joinTokens = JOINS_PER_SECOND;

  private joinRefilledAtMs: number;

  private closing = false;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly peerContacts: contacts.Contacts,
    private readonly probe: peerProbe.PeerProbe,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {
    this.startMs = time.monotonicMs();
    this.joinRefilledAtMs = this.startMs;
  }

  get children(): string[] {
    return [...this.sessions.keys()];
  }

  /** Handler of `Distribution.Sync`. */
  async serve(call: SyncCall): Promise<void> {
    const ended = new AbortController();
    const stop = () => ended.abort();
    call.on('cancelled', stop);
    call.on('error', stop);
    try {
      const messages = call[Symbol.asyncIterator]() as AsyncIterator<distribution.ChildMessage>;
      const first = await streams.nextMessage(messages, HELLO_TIMEOUT_MS, 'hello');
      if (first.message?.$case !== 'hello') {
        const detail = 'the first message was not a hello';
        throw failures.toError({ type: 'protocolViolation', peer: call.getPeer(), detail });
      }
      const hello = first.message.value;
      const refusal = this.refusalFor(hello);
      const joinedAtMs = this.time.monotonicMs();
      const echo = { sentMs: hello.sentMs, arrivedAtMs: joinedAtMs };
      if (refusal === null)
        await this.runSession({ hello, call, ended, echo, joinedAtMs }, messages);
      else call.write({ message: { $case: 'redirect', value: refusal } });
    } catch (err) {
      this.log.debug({ failure: failures.fromError(err) }, 'Child stream refused.');
    } finally {
      ended.abort();
      call.end();
    }
  }

  /** Handler of `Peers.Floor`. */
  floor(withMembers: boolean): distribution.FloorReply {
    const { config, local, members, progress, platformLink: link } = this.state;
    return {
      node: this.cfg.node,
      region: this.cfg.region,
      highestVersion: Math.max(progress.highestVersion, link.platformVersion),
      ownVersion: config.version,
      members: withMembers ? members.all : [],
      floorKnown: local.isReady,
      platformAgeMs: link.ageMs ?? -1,
    };
  }

  /** Refuses new children and ends all streams, so that the children attach to other parents. */
  close(): void {
    this.closing = true;
    for (const session of this.sessions.values()) session.ended.abort();
  }

  /** Regularly removes silent members that this node is responsible for, until `signal` aborts. */
  async sweep(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await backoff.sleep(SWEEP_INTERVAL_MS, signal);
      const nowMs = this.time.monotonicMs();
      this.removeSilentChildren(nowMs);
      const { role } = this.peerContacts.attachment();
      if (role === 'root' || role === 'regionRelay') {
        this.removeOrphans(nowMs);
        await this.removeUnresponsiveParentless(nowMs);
      }
    }
  }

  private refusalFor(hello: distribution.Hello): Refusal | null {
    const redirect = (reason: string) => ({ reason, retryAfterMs: 0 });
    if (this.closing || this.state.local.isDraining) return redirect('the node is stopping');
    if (hello.node === this.cfg.node) return redirect('a node cannot be its own parent');
    if (this.state.platformLink.path.includes(hello.node)) {
      return redirect('the path leads through the child');
    }
    const present = this.sessions.get(hello.node);
    if (present !== undefined && present.hello.incarnation > hello.incarnation) {
      return redirect('a later life of the child holds a stream');
    }
    const nowMs = this.time.monotonicMs();
    const refill = ((nowMs - this.joinRefilledAtMs) / 1_000) * JOINS_PER_SECOND;
    this.joinTokens = Math.min(JOINS_PER_SECOND, this.joinTokens + refill);
    this.joinRefilledAtMs = nowMs;
    if (this.joinTokens < 1) {
      return { reason: 'too many nodes are joining', retryAfterMs: JOIN_RETRY_AFTER_MS };
    }
    this.joinTokens -= 1;
    return null;
  }

  private async runSession(
    session: Session,
    messages: AsyncIterator<distribution.ChildMessage>,
  ): Promise<void> {
    const { hello, ended } = session;
    this.sessions.get(hello.node)?.ended.abort();
    this.sessions.set(hello.node, session);
    this.log.debug({ child: hello.node }, 'Child attached.');
    const writing = this.sendUpdates(session);
    try {
      while (!ended.signal.aborted) {
        const message = await streams.nextMessage(
          messages,
          constants.CHILD_SILENCE_MS,
          hello.node,
          ended.signal,
        );
        const decompressed = compression.decompressChildMessage(message, hello.node);
        if (decompressed.message !== undefined) this.handleMessage(session, decompressed.message);
      }
    } catch (err) {
      this.log.debug({ child: hello.node, failure: failures.fromError(err) }, 'Child detached.');
      if (failures.is(err, 'timeout')) this.removeOwnChild(hello.node, hello.incarnation);
    } finally {
      ended.abort();
      await writing;
      if (this.sessions.get(hello.node) === session) {
        this.sessions.delete(hello.node);
        this.state.progress.removeChild(hello.node);
      }
    }
  }

  private handleMessage(session: Session, message: ChildMessage): void {
    const { members, local, progress, evidence } = this.state;
    const origin = session.hello.node;
    switch (message.$case) {
      case 'announce':
        message.value.removals.forEach((item) =>
          members.remove(item.node, item.incarnation, origin),
        );
        message.value.members.forEach((member) => members.merge(member, origin));
        message.value.regions.forEach((summary) => members.mergeSummary(summary, origin));
        local.republishIfOutdated();
        break;
      case 'progress':
        progress.setChild(origin, message.value);
        break;
      case 'evidence':
        message.value.samples.forEach((sample) => evidence.addSample(sample, origin));
        break;
      case 'vetoes':
        message.value.vetoes.forEach((veto) => evidence.addVeto(veto, origin));
        break;
      case 'heartbeat':
        session.echo = {
          sentMs: message.value.sentMs,
          arrivedAtMs: this.time.monotonicMs(),
        };
        break;
      default:
        throw failures.toError({
          type: 'protocolViolation',
          peer: origin,
          detail: `unexpected message ${message.$case}`,
        });
    }
  }

  private async sendUpdates(session: Session): Promise<void> {
    const { call, ended, hello } = session;
    const crossRegion = hello.region !== this.cfg.region;
    const pacer = new streams.Pacer(this.state, crossRegion);
    ended.signal.addEventListener('abort', () => pacer.wake(), { once: true });
    const position: StreamPosition = {
      configVersion: hello.configVersion,
      manifestDigest: hello.manifestDigest,
      members: 0,
      rollouts: 0,
      placements: 0,
      vetoes: 0,
      progress: '',
      path: this.state.platformLink.path.join(' '),
    };
    const welcome = {
      node: this.cfg.node as string,
      configVersion: this.state.config.version as number,
      path: this.state.platformLink.path,
    };
    await streams.send(call, { message: { $case: 'welcome', value: welcome } }, ended.signal);
    let heartbeatAtMs = Number.NEGATIVE_INFINITY;
    let contactReported = false;
    while (!ended.signal.aborted) {
      // Read before the pending messages: a heartbeat may only report a contact whose changes the
      // child has already been sent.
      const contact = this.platformContact();
      const batchDue = pacer.takeBatchDue();
      for (const message of this.pendingMessages(hello, position, batchDue)) {
        const sent = crossRegion ? compression.compressParentMessage({ message }) : { message };
        await streams.send(call, sent, ended.signal);
      }
      const nowMs = this.time.monotonicMs();
      const { platformLink: link } = this.state;
      // A heartbeat is sent at once for the first contact after the join, because a starting child
      // does not serve before it, and for a changed path, so that loops are detected quickly.
      const isFirstContact: boolean = !contactReported && (contact.atMs ?? 0) > session.joinedAtMs;
      const pathChanged = link.path.join(' ') !== position.path;
      if (
        isFirstContact ||
        pathChanged ||
        nowMs - heartbeatAtMs >= constants.HEARTBEAT_INTERVAL_MS
      ) {
        heartbeatAtMs = nowMs;
        contactReported ||= isFirstContact;
        const message = this.buildHeartbeat(session, position, contact);
        await streams.send(call, { message }, ended.signal);
      }
      await pacer.wait(heartbeatAtMs + constants.HEARTBEAT_INTERVAL_MS - nowMs);
    }
    pacer.close();
    call.end();
  }

  /** Configuration goes first, so that no heartbeat reports a version that was not sent yet. */
  private pendingMessages(
    hello: distribution.Hello,
    position: StreamPosition,
    batchDue: boolean,
  ): ParentMessage[] {
    const { config, members, rollouts, placements, evidence, progress } = this.state;
    const messages: ParentMessage[] = [];
    const delta = config.deltaFrom(position.configVersion, position.manifestDigest);
    if (delta !== null) {
      position.configVersion = delta.toVersion;
      position.manifestDigest = delta.manifestDigest;
      messages.push({ $case: 'config', value: delta });
    }
    const vetoes = evidence.vetoesSince(position.vetoes, hello.node);
    position.vetoes = evidence.currentSequence;
    if (vetoes.length > 0) messages.push({ $case: 'vetoes', value: { vetoes } });
    messages.push(...this.pendingDocuments(hello, position, rollouts, placements));
    if (!batchDue) return messages;
    const crossRegion = hello.region !== this.cfg.region;
    if (crossRegion) members.refreshSummary(this.time.nowMs());
    const changes = members.changesSince(position.members, hello.node, crossRegion);
    position.members = changes.sequence;
    const value = {
      members: crossRegion ? [] : changes.members,
      removals: crossRegion ? [] : changes.removals,
      regions: changes.regions,
    };
    if (value.members.length + value.removals.length + value.regions.length > 0) {
      messages.push({ $case: 'members', value });
    }
    const text = JSON.stringify(progress.fleet);
    if (text !== position.progress) {
      position.progress = text;
      messages.push({ $case: 'progress', value: progress.fleet });
    }
    return messages;
  }

  private pendingDocuments(
    hello: distribution.Hello,
    position: StreamPosition,
    rollouts: fleetState.FleetState['rollouts'],
    placements: fleetState.FleetState['placements'],
  ): ParentMessage[] {
    const messages: ParentMessage[] = [];
    const rolloutChanges = rollouts.changesSince(position.rollouts);
    position.rollouts = rolloutChanges.sequence;
    const heldRollouts = new Map(hello.rollouts.map((item) => [item.rollout, item.revision]));
    const newRollouts = rolloutChanges.documents
      .filter((item) => item.revision > (heldRollouts.get(item.name) ?? 0))
      .map(({ name, revision, json }) => ({ rollout: name, revision, json }));
    if (newRollouts.length > 0) {
      messages.push({ $case: 'rollouts', value: { rollouts: newRollouts } });
    }
    const placementChanges = placements.changesSince(position.placements);
    position.placements = placementChanges.sequence;
    const heldPlacements = new Map(hello.placements.map((item) => [item.service, item.epoch]));
    const newPlacements = placementChanges.documents
      .filter((item) => item.revision > (heldPlacements.get(item.name) ?? 0))
      .map(({ name, revision, json }) => ({ service: name, epoch: revision, json }));
    if (newPlacements.length > 0) {
      messages.push({ $case: 'placements', value: { placements: newPlacements } });
    }
    return messages;
  }

  private platformContact(): PlatformContact {
    const { contactAtMs: atMs, platformVersion } = this.state.platformLink;
    return { atMs, platformVersion };
  }

  private buildHeartbeat(
    session: Session,
    position: StreamPosition,
    contact: PlatformContact,
  ): ParentMessage {
    const { path } = this.state.platformLink;
    const { sentMs, arrivedAtMs } = session.echo;
    const text = path.join(' ');
    const pathChanged = text !== position.path;
    position.path = text;
    return {
      $case: 'heartbeat',
      value: {
        echoMs: sentMs,
        contactOffsetMs: contact.atMs === null ? undefined : contact.atMs - arrivedAtMs,
        platformVersion: contact.platformVersion,
        path: pathChanged ? path : [],
      },
    };
  }

  private removeOwnChild(node: string, incarnation: number): void {
    const member = this.state.members.get(node);
    if (member === undefined || member.parent !== this.cfg.node) return;
    if (member.incarnation > incarnation) return;
    this.log.info({ member: node }, 'Member removed: no messages on its stream.');
    this.state.members.remove(node, member.incarnation, '');
  }

  /** Removes silent members that name this node as their parent but have no stream to it. */
  private removeSilentChildren(nowMs: number): void {
    for (const member of this.state.members.all) {
      if (member.parent !== this.cfg.node || this.sessions.has(member.node)) continue;
      if (this.silentForMs(member, nowMs) > constants.CHILD_SILENCE_MS) {
        this.removeOwnChild(member.node, member.incarnation);
      }
    }
  }

  /** Removes members that did not attach to another parent after theirs was removed. */
  private removeOrphans(nowMs: number): void {
    const { members } = this.state;
    for (const member of members.all) {
      const orphaned = member.parent !== '' && members.get(member.parent) === undefined;
      if (!orphaned || member.node === this.cfg.node) continue;
      if (this.silentForMs(member, nowMs) > constants.ORPHAN_GRACE_MS) {
        this.log.info({ member: member.node }, 'Member removed: its parent is gone.');
        members.remove(member.node, member.incarnation, '');
      }
    }
  }

  /** Probes silent members without a parent in this region, such as a former relay. */
  private async removeUnresponsiveParentless(nowMs: number): Promise<void> {
    const { members } = this.state;
    const parentless = members.all.filter(
      (member) => member.parent === '' && member.node !== this.cfg.node,
    );
    for (const member of parentless) {
      if (this.silentForMs(member, nowMs) < constants.CHILD_SILENCE_MS) continue;
      if (await this.probe.answers(member)) this.unresponsiveSinceMs.delete(member.node);
      else this.recordUnresponsive(member, nowMs);
    }
  }

  /** Time of the first failed probe, by node. */
  private readonly unresponsiveSinceMs = new Map<string, number>();

  private recordUnresponsive(member: distribution.Member, nowMs: number): void {
    const sinceMs = this.unresponsiveSinceMs.get(member.node) ?? nowMs;
    this.unresponsiveSinceMs.set(member.node, sinceMs);
    if (nowMs - sinceMs < constants.CHILD_SILENCE_MS) return;
    this.unresponsiveSinceMs.delete(member.node);
    this.log.info({ member: member.node }, 'Member removed: the former relay does not answer.');
    this.state.members.remove(member.node, ids.incarnation(member.incarnation), '');
  }

  private silentForMs(member: distribution.Member, nowMs: number): number {
    const changedAtMs = this.state.members.changedAtMs(member.node) ?? nowMs;
    return nowMs - Math.max(changedAtMs, this.startMs);
  }
}
