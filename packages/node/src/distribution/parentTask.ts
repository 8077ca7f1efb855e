/**
 * Keeps this node attached to the tree: one task that finds the parent to take, holds its stream,
 * and moves on when the parent fails or a better one appears. At the top of the tree the task
 * watches the platform instead.
 */

import type * as grpc from '@grpc/grpc-js';
import { backoff, failures } from '@godwittrack/core';
import type { clock } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as logging from '../logging.js';
import * as contacts from '../membership/contacts.js';
import type * as metrics from '../metrics/metrics.js';
import type * as settings from '../settings.js';
import * as signals from '../signals.js';
import * as fleetState from './fleetState.js';
import type * as peerChannels from './peerChannels.js';
import type * as peerProbe from './peerProbe.js';
import type * as platformWatcher from './platformWatcher.js';
import * as streams from './streams.js';

type SyncStream = grpc.ClientDuplexStream<distribution.ChildMessage, distribution.ParentMessage>;
type ParentMessage = NonNullable<distribution.ParentMessage['message']>;

/** Time in which a region relay that lost the root watches the platform before it tries again. */
const DIRECT_WATCH_MS = 5_000;
/** How often a settled node looks whether a better parent has appeared. */
const REVIEW_INTERVAL_MS = 1_000;
const WELCOME_TIMEOUT_MS = 1_500;
/** A full configuration is asked for after a delta that could not be applied. */
const FULL_VERSION = 0;

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
        await this.watchPlatform(signal, Number.POSITIVE_INFINITY);
      } else if (await this.attachToFirst(attachment, signal)) {
        delays.reset();
      } else if (attachment.role === 'regionRelay') {
        await this.watchPlatform(signal, DIRECT_WATCH_MS);
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
    for (const parent of attachment.parents) {
      if (signal.aborted) return false;
      try {
        await this.attach(parent, attachment.role, signal);
        return true;
      } catch (err) {
        const failure = failures.of(err);
        this.log.debug({ parent: parent.node, failure }, 'Parent not available.');
        this.known.suspect(parent.node);
      }
    }
    return false;
  }

  private async watchPlatform(signal: AbortSignal, forMs: number): Promise<void> {
    const stop = new AbortController();
    const combined = AbortSignal.any([signal, stop.signal]);
    this.state.local.setParent('');
    this.state.link.setParentPath([]);
    this.parentNode = null;
    const watching = this.watcher.run(combined);
    const startMs = this.time.monotonicMs();
    const unsubscribe = this.publishFleetProgress();
    while (!combined.aborted) {
      await backoff.sleep(Math.min(REVIEW_INTERVAL_MS, forMs), combined);
      const expired = this.time.monotonicMs() - startMs >= forMs;
      if (expired || (await this.hasBetterParent(null))) stop.abort();
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
    if (best === undefined || best.node === current) return false;
    if (await this.probe.answers(best)) return true;
    this.known.suspect(best.node);
    return false;
  }

  /** Holds a stream to one parent; returns when the session ended after a good start. */
  private async attach(
    parent: distribution.Member,
    role: contacts.Role,
    signal: AbortSignal,
  ): Promise<void> {
    const address =
      parent.region === this.cfg.region ? parent.peerAddress : parent.externalPeerAddress;
    const stream = this.channels.get(address).distribution.sync();
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
      manifestDigest: config.current.manifest.digest(),
      rollouts: rollouts.all.map(({ name, revision }) => ({ rollout: name, revision })),
      placements: placements.all.map(({ name, revision }) => ({ service: name, epoch: revision })),
    };
    session.stream.write({ message: { $case: 'hello', value: hello } });
    const answer = await streams.nextMessage(messages, WELCOME_TIMEOUT_MS, session.parent.node);
    const { message } = answer;
    if (message?.$case !== 'welcome') {
      const detail =
        message?.$case === 'redirect' ? message.value.reason : 'no welcome was answered';
      throw failures.raise({ type: 'peerUnavailable', peer: session.parent.node, detail });
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
    const tasks = [this.write(session), this.review(session)];
    try {
      while (!ended.signal.aborted) {
        const message = await streams.nextMessage(
          messages,
          constants.PARENT_SILENCE_MS,
          session.parent.node,
        );
        if (message.message !== undefined) this.take(session, message.message);
      }
    } catch (err) {
      if (!ended.signal.aborted) {
        const failure = failures.of(err);
        this.log.info({ parent: session.parent.node, failure }, 'Parent lost.');
        this.known.suspect(session.parent.node);
      }
    } finally {
      ended.abort();
      await Promise.all(tasks);
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
        this.refuseLoop(session, message.value.path);
        link.setParentPath(message.value.path);
        if (message.value.platformAgeMs >= 0) {
          link.confirm(message.value.platformVersion, message.value.platformAgeMs);
        }
        break;
      default:
        throw failures.raise({
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
        this.log.info({ version: delta.toVersion }, 'Configuration applied.');
      }
    } catch (err) {
      const failure = failures.of(err);
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
    throw failures.raise({ type: 'peerUnavailable', peer: session.parent.node, detail });
  }

  /** Sends what changed, at the pace that the parent takes it; bursts are coalesced. */
  private async write(session: Session): Promise<void> {
    const { stream, ended, parent } = session;
    const wakeup = new signals.Wakeup();
    const unsubscribe = fleetState.subscribeAll(this.state, () => wakeup.notify());
    const stop = () => wakeup.notify();
    ended.signal.addEventListener('abort', stop, { once: true });
    const position = { members: 0, evidence: 0, progress: '' };
    let heartbeatAtMs = 0;
    while (!ended.signal.aborted && stream.writable) {
      for (const message of this.pendingMessages(parent, position)) {
        await streams.send(stream, { message }, ended.signal);
      }
      if (this.time.monotonicMs() - heartbeatAtMs >= constants.HEARTBEAT_INTERVAL_MS) {
        heartbeatAtMs = this.time.monotonicMs();
        const value = { configVersion: this.state.config.version };
        await streams.send(stream, { message: { $case: 'heartbeat', value } }, ended.signal);
      }
      await wakeup.wait(constants.HEARTBEAT_INTERVAL_MS);
    }
    unsubscribe();
    ended.signal.removeEventListener('abort', stop);
  }

  private pendingMessages(
    parent: distribution.Member,
    position: { members: number; evidence: number; progress: string },
  ): NonNullable<distribution.ChildMessage['message']>[] {
    const { members, evidence, progress } = this.state;
    const messages: NonNullable<distribution.ChildMessage['message']>[] = [];
    const across = parent.region !== this.cfg.region;
    if (across) members.refreshSummary(this.time.nowMs());
    const changes = members.changesSince(position.members, parent.node);
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
    const vetoes = evidence.vetoesSince(position.evidence, parent.node);
    position.evidence = evidence.currentSequence;
    if (vetoes.length > 0) messages.push({ $case: 'vetoes', value: { vetoes } });
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
    while (!ended.signal.aborted) {
      await backoff.sleep(REVIEW_INTERVAL_MS * (0.5 + Math.random()), ended.signal);
      if (!ended.signal.aborted && (await this.hasBetterParent(parent.node))) {
        this.log.info({ parent: parent.node }, 'A parent of better rank answers.');
        ended.abort();
        session.stream.cancel();
      }
    }
  }
}
