/**
 * Keeps this node attached to the distribution tree: one task that selects a parent, keeps a stream
 * to it, and selects another when the parent fails or a better one appears. The root of the tree,
 * and a region relay that reaches no parent, watch the platform instead.
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

/** Candidates tried or probed before the list of possible parents is computed again. */
const MAX_PARENTS_TRIED = 3;
/**
 * When its last platform contact is older than this, a node looks for a parent with a newer one.
 */
const STALE_CONTACT_MS = 3_000;
/** A node is a better parent if its last platform contact is newer by at least this much. */
const MIN_FRESHNESS_GAIN_MS = 1_500;
/** Interval at which an attached node looks for a better parent. */
const REVIEW_INTERVAL_MS = 1_000;
const WELCOME_TIMEOUT_MS = 1_500;
/**
 * Version of the empty configuration: a hello with this version requests the full configuration,
 * and a delta from this version contains it.
 */
const EMPTY_CONFIG_VERSION = 0;

/** Thrown when a parent admits no further joins for now. */
class ParentBusyError extends Error {
  constructor(readonly retryAfterMs: number) {
    super('the parent admits no further joins for now');
  }
}

interface Session {
  parent: distribution.Member;
  stream: SyncStream;
  /** Aborted when the session ends, or to end it. */
  ended: AbortController;
}

export class ParentTask {
  private currentRole: contacts.Role = 'leaf';

  private parentNode: string | null = null;

  /** Set after a delta could not be applied. */
  private requestFullConfig = false;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly state: fleetState.FleetState,
    private readonly peerContacts: contacts.Contacts,
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
      const attachment = this.peerContacts.attachment();
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

  /**
   * Returns true when a session was held or a parent asked to retry later, false when no parent
   * was available.
   */
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
        if (err instanceof ParentBusyError) {
          // Trying other parents would move the load of a mass join to them, and a node that finds
          // none would become a second root.
          await backoff.sleep(err.retryAfterMs * (0.5 + Math.random()), signal);
          return true;
        }
        const failure = failures.fromError(err);
        this.log.debug({ parent: parent.node, failure }, 'Parent not available.');
        this.peerContacts.suspect(parent.node);
      }
    }
    return false;
  }

  private async watchPlatform(signal: AbortSignal): Promise<void> {
    const stopWatching = new AbortController();
    const combined = AbortSignal.any([signal, stopWatching.signal]);
    this.state.local.setParent('');
    this.state.platformLink.setParentPath([]);
    this.parentNode = null;
    const watching = this.watcher.run(combined);
    const startMs = this.time.monotonicMs();
    const unsubscribe = this.publishFleetProgress();
    while (!combined.aborted) {
      await backoff.sleep(REVIEW_INTERVAL_MS, combined);
      const watchedLongEnough = this.time.monotonicMs() - startMs > STALE_CONTACT_MS;
      if (await this.hasBetterParent(null)) stopWatching.abort();
      else if (watchedLongEnough && (await this.othersReachPlatform())) {
        this.log.warn('Other nodes reach the platform but this node does not; stepping down.');
        this.peerContacts.demoteSelf();
        stopWatching.abort();
      }
    }
    unsubscribe();
    await watching;
  }

  /** At the root, the progress of the fleet is that of the node's own subtree. */
  private publishFleetProgress(): () => void {
    const { progress, members } = this.state;
    const publish = () => {
      const known = members.size + progress.childrenKnown();
      progress.setFleet({ counts: progress.subtree(), known });
    };
    publish();
    const unsubscribers = [
      progress.subtreeChanged.subscribe(publish),
      members.changed.subscribe(publish),
    ];
    return () => unsubscribers.forEach((stop) => stop());
  }

  /** Whether a node that ranks better than `current` answers now. */
  private async hasBetterParent(current: string | null): Promise<boolean> {
    const { role, parents } = this.peerContacts.attachment();
    const [best] = parents;
    if (role !== this.currentRole && (role === 'root' || role === 'regionRelay')) return true;
    if (best === undefined) return false;
    if (best.node === current) return this.hasFresherSource(current, parents);
    const reply = await this.probe.ask(best);
    // A node that has lost contact with the platform is not a better parent, whatever its rank.
    const isStale =
      reply === null || this.contactAgeMs(reply) - this.ownContactAgeMs() > STALE_CONTACT_MS;
    if (!isStale) return true;
    this.peerContacts.suspect(best.node);
    return false;
  }

  /**
   * Whether a better source than `current` exists once its last platform contact is stale: one of
   * the next parents with a newer contact, or the platform itself when only one node ranks above
   * this one.
   */
  private async hasFresherSource(
    current: string,
    parents: readonly distribution.Member[],
  ): Promise<boolean> {
    if (this.ownContactAgeMs() < STALE_CONTACT_MS) return false;
    const fresher = await this.findFresher(parents.filter(({ node }) => node !== current));
    const onlyAbove = this.peerContacts.onlyNodeAbove();
    const canWatch = fresher === null && onlyAbove !== undefined && (await this.canReachPlatform());
    if (fresher === null && !canWatch) return false;
    this.log.warn({ parent: current }, 'The parent has lost contact with the platform.');
    this.peerContacts.suspect(current);
    if (canWatch) this.peerContacts.suspect(onlyAbove.node);
    return true;
  }

  private async othersReachPlatform(): Promise<boolean> {
    if (this.ownContactAgeMs() < STALE_CONTACT_MS) return false;
    return (await this.findFresher(this.peerContacts.others())) !== null;
  }

  private async findFresher(
    candidates: readonly distribution.Member[],
  ): Promise<distribution.Member | null> {
    const tried = candidates.slice(0, MAX_PARENTS_TRIED);
    const replies = await Promise.all(tried.map((member) => this.probe.ask(member)));
    const index = replies.findIndex(
      (reply) =>
        reply !== null && this.contactAgeMs(reply) + MIN_FRESHNESS_GAIN_MS < this.ownContactAgeMs(),
    );
    return tried[index] ?? null;
  }

  private async canReachPlatform(): Promise<boolean> {
    if (this.cfg.region !== this.cfg.homeRegion) return false;
    return this.watcher.isReachable(AbortSignal.timeout(WELCOME_TIMEOUT_MS));
  }

  private ownContactAgeMs(): number {
    return this.state.platformLink.ageMs ?? Number.POSITIVE_INFINITY;
  }

  private contactAgeMs(reply: distribution.FloorReply): number {
    return reply.platformAgeMs < 0 ? Number.POSITIVE_INFINITY : reply.platformAgeMs;
  }

  /**
   * Runs a session with one parent and returns when it has ended; throws if it was not welcomed.
   */
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
    // The iteration below reports the error; without a listener it would be an uncaught exception.
    stream.on('error', stop);
    try {
      const messages = stream[Symbol.asyncIterator]() as AsyncIterator<distribution.ParentMessage>;
      await this.handshake(session, role, messages);
      await this.runSession(session, messages);
    } finally {
      signal.removeEventListener('abort', stop);
      stream.cancel();
      this.parentNode = null;
      this.state.platformLink.setParentPath([]);
    }
  }

  private async handshake(
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
      configVersion: this.requestFullConfig ? EMPTY_CONFIG_VERSION : config.version,
      manifestDigest: configStore.digestOf(config.current.manifest),
      rollouts: rollouts.all.map(({ name, revision }) => ({ rollout: name, revision })),
      placements: placements.all.map(({ name, revision }) => ({ service: name, epoch: revision })),
      sentMs: this.time.monotonicMs(),
    };
    session.stream.write({ message: { $case: 'hello', value: hello } });
    const answer = await streams.nextMessage(messages, WELCOME_TIMEOUT_MS, session.parent.node);
    const { message } = answer;
    if (message?.$case === 'redirect' && message.value.retryAfterMs > 0) {
      throw new ParentBusyError(message.value.retryAfterMs);
    }
    if (message?.$case !== 'welcome') {
      const detail =
        message?.$case === 'redirect'
          ? message.value.reason
          : 'the parent did not answer the hello with a welcome';
      throw failures.toError({ type: 'peerUnavailable', peer: session.parent.node, detail });
    }
    this.rejectLoop(session, message.value.path);
    this.peerContacts.clearSuspicion(session.parent.node);
    this.requestFullConfig = false;
    this.parentNode = session.parent.node;
    const sameRegion = session.parent.region === this.cfg.region;
    local.setParent(sameRegion ? session.parent.node : '');
    this.state.platformLink.setParentPath(message.value.path);
    this.log.info({ parent: session.parent.node, role }, 'Attached to parent.');
  }

  private async runSession(
    session: Session,
    messages: AsyncIterator<distribution.ParentMessage>,
  ): Promise<void> {
    const { ended } = session;
    const writing = this.sendUpdates(session);
    const reviewing = this.review(session);
    try {
      while (!ended.signal.aborted) {
        const message = await streams.nextMessage(
          messages,
          constants.PARENT_SILENCE_MS,
          session.parent.node,
          ended.signal,
        );
        const decompressed = compression.decompressParentMessage(message, session.parent.node);
        if (decompressed.message !== undefined) this.handleMessage(session, decompressed.message);
      }
    } catch (err) {
      if (!ended.signal.aborted) {
        const failure = failures.fromError(err);
        this.log.info({ parent: session.parent.node, failure }, 'Connection to parent lost.');
        this.peerContacts.suspect(session.parent.node);
      }
    } finally {
      ended.abort();
      session.stream.cancel();
      await Promise.all([writing, reviewing]);
    }
  }

  private handleMessage(session: Session, message: ParentMessage): void {
    const {
      members,
      local,
      rollouts,
      placements,
      progress,
      platformLink: link,
      evidence,
    } = this.state;
    const origin = session.parent.node;
    switch (message.$case) {
      case 'config':
        this.applyConfig(session, message.value);
        break;
      case 'members':
        message.value.removals.forEach((item) =>
          members.remove(item.node, item.incarnation, origin),
        );
        message.value.members.forEach((member) => members.merge(member, origin));
        this.mergeRegions(message.value.regions, origin);
        local.republishIfOutdated();
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
          this.rejectLoop(session, message.value.path);
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
   * A summary of this node's own region means that another node acts as the region's relay too. Its
   * relays are added to the contacts, so that both nodes agree on one relay.
   */
  private mergeRegions(regions: readonly distribution.RegionSummary[], origin: string): void {
    for (const summary of regions) {
      if (summary.region !== this.cfg.region) this.state.members.mergeSummary(summary, origin);
      else summary.relays.forEach((relay) => this.peerContacts.addHint(relay));
    }
  }

  private applyConfig(session: Session, delta: distribution.ConfigDelta): void {
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
      // After a failed delta, the full configuration is requested with a new session; a full one
      // that is refused would be refused again.
      if (delta.fromVersion !== EMPTY_CONFIG_VERSION) {
        this.requestFullConfig = true;
        session.ended.abort();
      }
    }
  }

  private rejectLoop(session: Session, path: readonly string[]): void {
    if (!path.includes(this.cfg.node)) return;
    const detail = 'the path to the platform leads through this node';
    throw failures.toError({ type: 'peerUnavailable', peer: session.parent.node, detail });
  }

  /** Sends changes as fast as the parent reads them; bursts are coalesced. */
  private async sendUpdates(session: Session): Promise<void> {
    const { stream, ended, parent } = session;
    const crossRegion = parent.region !== this.cfg.region;
    const pacer = new streams.Pacer(this.state, crossRegion);
    const stop = () => pacer.wake();
    ended.signal.addEventListener('abort', stop, { once: true });
    const position = { members: 0, evidence: 0, vetoes: 0, progress: '' };
    let heartbeatAtMs = Number.NEGATIVE_INFINITY;
    while (!ended.signal.aborted && stream.writable) {
      const batchDue = pacer.takeBatchDue();
      for (const message of this.pendingMessages(parent, position, batchDue)) {
        const sent = crossRegion ? compression.compressChildMessage({ message }) : { message };
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
    batchDue: boolean,
  ): NonNullable<distribution.ChildMessage['message']>[] {
    const { members, evidence, progress } = this.state;
    const messages: NonNullable<distribution.ChildMessage['message']>[] = [];
    const vetoes = evidence.vetoesSince(position.vetoes, parent.node);
    position.vetoes = evidence.currentSequence;
    if (vetoes.length > 0) messages.push({ $case: 'vetoes', value: { vetoes } });
    if (!batchDue) return messages;
    const crossRegion = parent.region !== this.cfg.region;
    if (crossRegion) members.refreshSummary(this.time.nowMs());
    const changes = members.changesSince(position.members, parent.node, crossRegion);
    position.members = changes.sequence;
    const announce = {
      members: crossRegion ? [] : changes.members,
      removals: crossRegion ? [] : changes.removals,
      regions: crossRegion ? changes.regions : [],
    };
    if (announce.members.length + announce.removals.length + announce.regions.length > 0) {
      messages.push({ $case: 'announce', value: announce });
    }
    const samples = evidence.samplesSince(position.evidence, parent.node);
    position.evidence = evidence.currentSequence;
    if (samples.length > 0) messages.push({ $case: 'evidence', value: { samples } });
    const known = crossRegion ? members.size : progress.childrenKnown();
    const value = { counts: progress.subtree(), known };
    const text = JSON.stringify(value);
    if (text !== position.progress) {
      position.progress = text;
      messages.push({ $case: 'progress', value });
    }
    return messages;
  }

  /** Ends the session when a better parent answers. */
  private async review(session: Session): Promise<void> {
    const { ended, parent } = session;
    const { members } = this.state;
    const wakeup = new signals.Wakeup();
    const wake = () => wakeup.notify();
    ended.signal.addEventListener('abort', wake, { once: true });
    // A draining parent is left at once, before it closes its streams.
    const unsubscribe = members.changed.subscribe(() => {
      if (members.get(parent.node)?.draining === true) wake();
    });
    while (!ended.signal.aborted) {
      await wakeup.wait(REVIEW_INTERVAL_MS * (0.5 + Math.random()));
      if (!ended.signal.aborted && (await this.hasBetterParent(parent.node))) {
        this.log.info({ parent: parent.node }, 'Leaving the parent for a better one.');
        ended.abort();
        session.stream.cancel();
      }
    }
    unsubscribe();
    ended.signal.removeEventListener('abort', wake);
  }
}
