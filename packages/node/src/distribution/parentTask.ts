/**
 * Keeps this node attached to the tree: one task that finds the parent to take, holds its stream,
 * and moves on when the parent fails or a better one appears. At the top of the tree the task
 * watches the platform instead.
 */

import type * as grpc from '@grpc/grpc-js';
import { backoff, failures } from '@godwittrack/core';
import type { clock, metrics } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import * as contacts from '../membership/contacts.js';
import * as configStore from '../config/configStore.js';
import type * as settings from '../settings.js';
import * as signals from '../signals.js';
import * as compression from './compression.js';
import type * as fleetState from './fleetState.js';
import type * as peerChannels from './peerChannels.js';
import type * as peerProbe from './peerProbe.js';
import type * as platformWatcher from './platformWatcher.js';
import * as streams from './streams.js';

type SyncStream = grpc.ClientDuplexStream<distribution.ChildMessage, distribution.ParentMessage>;
type ParentMessage = NonNullable<distribution.ParentMessage['message']>;

/** Parents tried in a row before this node looks again at who is there. */
const MAX_PARENTS_TRIED = 3;
/** Older knowledge of the platform than this makes a node look for one that has later knowledge. */
const STALE_CONTACT_MS = 3_000;
/** A node with this much later knowledge of the platform is a better parent. */
const FRESHER_BY_MS = 1_500;
/** How often a settled node looks whether a better parent has appeared. */
const REVIEW_INTERVAL_MS = 1_000;
const WELCOME_TIMEOUT_MS = 1_500;
/** A full configuration is asked for after a delta that could not be applied. */
const FULL_VERSION = 0;

/** Thrown when a parent asks this node to come back later. */
class AskedToWait extends Error {
  constructor(readonly retryAfterMs: number) {
    super('the parent admits no more joins now');
  }
}

interface Session {
  parent: distribution.Member;
  stream: SyncStream;
  /** Ends the session; the reason is logged. */
  ended: AbortController;
}

export class ParentTask {
  private currentRole: contacts.Role = 'leaf';

  private parentNode: string | null = null;

  private askFull = false;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly known: contacts.Contacts,
    private readonly channels: peerChannels.PeerChannels,
    private readonly probe: peerProbe.PeerProbe,
    private readonly watcher: platformWatcher.PlatformWatcher,
    private readonly meters: metrics.Metrics,
    private readonly log: logging.Logger,
    private readonly time: clock.Clock,
  ) {}

  get role(): contacts.Role {
    return this.currentRole;
  }

  /** Node id of the parent; null while this node has none. */
  get parent(): string | null {
    return this.parentNode;
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const delays = new backoff.Backoff();
    while (!signal.aborted) {
      const attachment = this.known.attachment();
      this.currentRole = attachment.role;
      if (attachment.role === 'root') {
        await this.watchPlatform(signal);
      } else if (await this.attachToFirst(attachment, signal)) {
        delays.reset();
      } else if (attachment.role === 'regionRelay') {
        await this.watchPlatform(signal);
      } else {
        await backoff.sleep(delays.nextMs(), signal);
      }
    }
  }

  /** Returns true when a stream was held for some time, false when no parent could be had. */
  private async attachToFirst(
    attachment: contacts.Attachment,
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const parent of attachment.parents.slice(0, MAX_PARENTS_TRIED)) {
      if (signal.aborted) return false;
      try {
        await this.attach(parent, attachment.role, signal);
        return true;
      } catch (err) {
        if (err instanceof AskedToWait) {
          // Moving on would carry the storm to the other nodes and give the tree a second top.
          await backoff.sleep(err.retryAfterMs * (0.5 + Math.random()), signal);
          return true;
        }
        const failure = failures.fromError(err);
        this.log.debug({ parent: parent.node, failure }, 'Parent not available.');
        this.known.suspect(parent.node);
      }
    }
    return false;
  }

  private async watchPlatform(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const combined = AbortSignal.any([signal, stop.signal]);
    this.state.local.setParent('');
    this.state.link.setParentPath([]);
    this.parentNode = null;
    const watching = this.watcher.run(combined);
    const startMs = this.time.monotonicMs();
    const unsubscribe = this.publishFleetProgress();
    while (!combined.aborted) {
      await backoff.sleep(REVIEW_INTERVAL_MS, combined);
      const settled = this.time.monotonicMs() - startMs > STALE_CONTACT_MS;
      if (await this.hasBetterParent(null)) stop.abort();
      else if (settled && (await this.othersReachPlatform())) {
        this.log.warn('The platform is lost here but not at other nodes.');
        this.known.demoteSelf();
        stop.abort();
      }
    }
    unsubscribe();
    await watching;
  }

  /** At the top of the tree, the fleet's progress is this node's own sum. */
  private publishFleetProgress(): () => void {
    const { progress, members } = this.state;
    const publish = () => {
      const known = members.size + progress.childrenKnown();
      progress.setFleet({ counts: progress.subtree(), known });
    };
    publish();
    const stops = [progress.subtreeChanged.subscribe(publish), members.changed.subscribe(publish)];
    return () => stops.forEach((stop) => stop());
  }

  /** Looks whether a node of better rank than `current` answers now. */
  private async hasBetterParent(current: string | null): Promise<boolean> {
    const { role, parents } = this.known.attachment();
    const [best] = parents;
    if (role !== this.currentRole && (role === 'root' || role === 'regionRelay')) return true;
    if (best === undefined) return false;
    if (best.node === current) return this.hasFresherParent(current, parents);
    const reply = await this.probe.ask(best);
    // A node that lost the platform is no better parent, however it ranks.
    const lost = reply === null || this.ageOf(reply) - this.ownAgeMs() > STALE_CONTACT_MS;
    if (!lost) return true;
    this.known.suspect(best.node);
    return false;
  }

  /**
   * Looks for later knowledge of the platform when that of the parent has grown old: at the next
   * parents, and at the platform itself when only the parent is ranked above this node.
   */
  private async hasFresherParent(
    current: string,
    parents: readonly distribution.Member[],
  ): Promise<boolean> {
    if (this.ownAgeMs() < STALE_CONTACT_MS) return false;
    const fresher = await this.findFresher(parents.filter(({ node }) => node !== current));
    const first = this.known.firstAbove();
    const leads = fresher === null && first !== undefined && (await this.reachesPlatform());
    if (fresher === null && !leads) return false;
    this.log.warn({ parent: current }, 'The parent lost the platform.');
    this.known.suspect(current);
    if (leads) this.known.suspect(first.node);
    return true;
  }

  private async othersReachPlatform(): Promise<boolean> {
    if (this.ownAgeMs() < STALE_CONTACT_MS) return false;
    return (await this.findFresher(this.known.others())) !== null;
  }

  private async findFresher(
    candidates: readonly distribution.Member[],
  ): Promise<distribution.Member | null> {
    const tried = candidates.slice(0, MAX_PARENTS_TRIED);
    const replies = await Promise.all(tried.map((member) => this.probe.ask(member)));
    const index = replies.findIndex(
      (reply) => reply !== null && this.ageOf(reply) + FRESHER_BY_MS < this.ownAgeMs(),
    );
    return tried[index] ?? null;
  }

  private async reachesPlatform(): Promise<boolean> {
    if (this.cfg.region !== this.cfg.homeRegion) return false;
    return this.watcher.reaches(AbortSignal.timeout(WELCOME_TIMEOUT_MS));
  }

  private ownAgeMs(): number {
    return this.state.link.ageMs ?? Number.POSITIVE_INFINITY;
  }

  private ageOf(reply: distribution.FloorReply): number {
    return reply.platformAgeMs < 0 ? Number.POSITIVE_INFINITY : reply.platformAgeMs;
  }

  /** Holds a stream to one parent; returns when the session ended after a good start. */
  private async attach(
    parent: distribution.Member,
    role: contacts.Role,
    signal: AbortSignal,
  ): Promise<void> {
    const stream = this.channels.get(this.probe.addressOf(parent)).distribution.sync();
    const ended = new AbortController();
    const session: Session = { parent, stream, ended };
    const stop = () => ended.abort();
    signal.addEventListener('abort', stop, { once: true });
    // Iteration below reports the error; this listener keeps it from being thrown as uncaught.
    stream.on('error', stop);
    try {
      const messages = stream[Symbol.asyncIterator]() as AsyncIterator<distribution.ParentMessage>;
      await this.greet(session, role, messages);
      await this.hold(session, messages);
    } finally {
      signal.removeEventListener('abort', stop);
      stream.cancel();
      this.parentNode = null;
      this.state.link.setParentPath([]);
    }
  }

  private async greet(
    session: Session,
    role: contacts.Role,
    messages: AsyncIterator<distribution.ParentMessage>,
  ): Promise<void> {
    const { config, local, rollouts, placements } = this.state;
    const hello: distribution.Hello = {
      node: this.cfg.node,
      incarnation: local.incarnation,
      region: this.cfg.region,
      failureDomain: this.cfg.failureDomain,
      role: { root: 0, leaf: 0, domainRelay: 1, regionRelay: 2 }[role],
      configVersion: this.askFull ? FULL_VERSION : config.version,
      manifestDigest: configStore.digestOf(config.current.manifest),
      rollouts: rollouts.all.map(({ name, revision }) => ({ rollout: name, revision })),
      placements: placements.all.map(({ name, revision }) => ({ service: name, epoch: revision })),
      sentMs: this.time.monotonicMs(),
    };
    session.stream.write({ message: { $case: 'hello', value: hello } });
    const answer = await streams.nextMessage(messages, WELCOME_TIMEOUT_MS, session.parent.node);
    const { message } = answer;
    if (message?.$case === 'redirect' && message.value.retryAfterMs > 0) {
      throw new AskedToWait(message.value.retryAfterMs);
    }
    if (message?.$case !== 'welcome') {
      const detail =
        message?.$case === 'redirect' ? message.value.reason : 'no welcome was answered';
      throw failures.toError({ type: 'peerUnavailable', peer: session.parent.node, detail });
    }
    this.refuseLoop(session, message.value.path);
    this.known.clear(session.parent.node);
    this.askFull = false;
    this.parentNode = session.parent.node;
    const sameRegion = session.parent.region === this.cfg.region;
    local.setParent(sameRegion ? session.parent.node : '');
    this.state.link.setParentPath(message.value.path);
    this.log.info({ parent: session.parent.node, role }, 'Attached to parent.');
  }

  private async hold(
    session: Session,
    messages: AsyncIterator<distribution.ParentMessage>,
  ): Promise<void> {
    const { ended } = session;
    const writing = this.write(session);
    const reviewing = this.review(session);
    try {
      while (!ended.signal.aborted) {
        const message = await streams.nextMessage(
          messages,
          constants.PARENT_SILENCE_MS,
          session.parent.node,
          ended.signal,
        );
        const plain = compression.unpackParent(message, session.parent.node);
        if (plain.message !== undefined) this.take(session, plain.message);
      }
    } catch (err) {
      if (!ended.signal.aborted) {
        const failure = failures.fromError(err);
        this.log.info({ parent: session.parent.node, failure }, 'Parent lost.');
        this.known.suspect(session.parent.node);
      }
    } finally {
      ended.abort();
      session.stream.cancel();
      await Promise.all([writing, reviewing]);
    }
  }

  private take(session: Session, message: ParentMessage): void {
    const { members, local, rollouts, placements, progress, link, evidence } = this.state;
    const origin = session.parent.node;
    switch (message.$case) {
      case 'config':
        this.takeConfig(session, message.value);
        break;
      case 'members':
        message.value.removals.forEach((item) =>
          members.remove(item.node, item.incarnation, origin),
        );
        message.value.members.forEach((member) => members.merge(member, origin));
        this.takeRegions(message.value.regions, origin);
        local.defend();
        break;
      case 'rollouts':
        message.value.rollouts.forEach(({ rollout: name, revision, json }) =>
          rollouts.merge({ name, revision, json }),
        );
        break;
      case 'placements':
        message.value.placements.forEach(({ service: name, epoch: revision, json }) =>
          placements.merge({ name, revision, json }),
        );
        break;
      case 'vetoes':
        message.value.vetoes.forEach((veto) => evidence.addVeto(veto, origin));
        break;
      case 'progress':
        progress.setFleet(message.value);
        break;
      case 'heartbeat':
        if (message.value.path.length > 0) {
          this.refuseLoop(session, message.value.path);
          link.setParentPath(message.value.path);
        }
        if (message.value.contactOffsetMs !== undefined) {
          const contactAtMs = message.value.echoMs + message.value.contactOffsetMs;
          link.confirm(message.value.platformVersion, contactAtMs);
        }
        break;
      default:
        throw failures.toError({
          type: 'protocolViolation',
          peer: origin,
          detail: `unexpected message ${message.$case}`,
        });
    }
  }

  /**
   * A summary of this node's own region comes from another node that acts as its relay; its relays
   * become known, so that the two agree on one of them.
   */
  private takeRegions(regions: readonly distribution.RegionSummary[], origin: string): void {
    for (const summary of regions) {
      if (summary.region !== this.cfg.region) this.state.members.mergeSummary(summary, origin);
      else summary.relays.forEach((relay) => this.known.addHint(relay));
    }
  }

  private takeConfig(session: Session, delta: distribution.ConfigDelta): void {
    try {
      if (this.state.config.applyDelta(delta, session.parent.node)) {
        this.meters.increment('godwittrack_config_applied_total');
        const digest = delta.manifestDigest;
        this.log.info({ version: delta.toVersion, digest }, 'Configuration applied.');
      }
    } catch (err) {
      const failure = failures.fromError(err);
      this.meters.increment('godwittrack_config_refused_total', { type: failure.type });
      this.log.error({ version: delta.toVersion, failure }, 'Configuration refused.');
      // A delta that does not fit is repaired by the whole; a whole that is refused stays refused.
      if (delta.fromVersion !== FULL_VERSION) {
        this.askFull = true;
        session.ended.abort();
      }
    }
  }

  private refuseLoop(session: Session, path: readonly string[]): void {
    if (!path.includes(this.cfg.node)) return;
    const detail = 'the path to the platform leads through this node';
    throw failures.toError({ type: 'peerUnavailable', peer: session.parent.node, detail });
  }

  /** Sends what changed, at the pace that the parent takes it; bursts are coalesced. */
  private async write(session: Session): Promise<void> {
    const { stream, ended, parent } = session;
    const across = parent.region !== this.cfg.region;
    const pacer = new streams.Pacer(this.state, across);
    const stop = () => pacer.wake();
    ended.signal.addEventListener('abort', stop, { once: true });
    const position = { members: 0, evidence: 0, vetoes: 0, progress: '' };
    let heartbeatAtMs = Number.NEGATIVE_INFINITY;
    while (!ended.signal.aborted && stream.writable) {
      const gathered = pacer.takeGathered();
      for (const message of this.pendingMessages(parent, position, gathered)) {
        const sent = across ? compression.packChild({ message }) : { message };
        await streams.send(stream, sent, ended.signal);
      }
      const nowMs = this.time.monotonicMs();
      if (nowMs - heartbeatAtMs >= constants.HEARTBEAT_INTERVAL_MS) {
        heartbeatAtMs = nowMs;
        const value = { sentMs: nowMs };
        await streams.send(stream, { message: { $case: 'heartbeat', value } }, ended.signal);
      }
      await pacer.wait(heartbeatAtMs + constants.HEARTBEAT_INTERVAL_MS - nowMs);
    }
    pacer.close();
    ended.signal.removeEventListener('abort', stop);
  }

  private pendingMessages(
    parent: distribution.Member,
    position: { members: number; evidence: number; vetoes: number; progress: string },
    gathered: boolean,
  ): NonNullable<distribution.ChildMessage['message']>[] {
    const { members, evidence, progress } = this.state;
    const messages: NonNullable<distribution.ChildMessage['message']>[] = [];
    const vetoes = evidence.vetoesSince(position.vetoes, parent.node);
    position.vetoes = evidence.currentSequence;
    if (vetoes.length > 0) messages.push({ $case: 'vetoes', value: { vetoes } });
    if (!gathered) return messages;
    const across = parent.region !== this.cfg.region;
    if (across) members.refreshSummary(this.time.nowMs());
    const changes = members.changesSince(position.members, parent.node, across);
    position.members = changes.sequence;
    const announce = {
      members: across ? [] : changes.members,
      removals: across ? [] : changes.removals,
      regions: across ? changes.regions : [],
    };
    if (announce.members.length + announce.removals.length + announce.regions.length > 0) {
      messages.push({ $case: 'announce', value: announce });
    }
    const samples = evidence.samplesSince(position.evidence, parent.node);
    position.evidence = evidence.currentSequence;
    if (samples.length > 0) messages.push({ $case: 'evidence', value: { samples } });
    const known = across ? members.size : progress.childrenKnown();
    const value = { counts: progress.subtree(), known };
    const text = JSON.stringify(value);
    if (text !== position.progress) {
      position.progress = text;
      messages.push({ $case: 'progress', value });
    }
    return messages;
  }

  /** Ends the session when a parent of better rank answers. */
  private async review(session: Session): Promise<void> {
    const { ended, parent } = session;
    const { members } = this.state;
    const wakeup = new signals.Wakeup();
    const wake = () => wakeup.notify();
    ended.signal.addEventListener('abort', wake, { once: true });
    // A parent that is being stopped is left at once, before it closes its streams.
    const unsubscribe = members.changed.subscribe(() => {
      if (members.get(parent.node)?.draining === true) wake();
    });
    while (!ended.signal.aborted) {
      await wakeup.wait(REVIEW_INTERVAL_MS * (0.5 + Math.random()));
      if (!ended.signal.aborted && (await this.hasBetterParent(parent.node))) {
        this.log.info({ parent: parent.node }, 'A better parent answers.');
        ended.abort();
        session.stream.cancel();
      }
    }
    unsubscribe();
    ended.signal.removeEventListener('abort', wake);
  }
}
