/**
 * Outgoing connection to another node, for requests to the upstream there and for control frames. Links to
 * neighbours are persistent; others are opened for the first request and closed when idle. After a
 * connection failure, a link of either kind reconnects until the node responds.
 */

import * as net from 'node:net';
import { backoff, type ids } from '@godwittrack/core';
import * as eventLoop from '../eventLoop.js';
import * as exchange from '../routing/exchange.js';
import * as networkAddress from '../networkAddress.js';
import * as framedConnection from './framedConnection.js';
import * as frames from './frames.js';
import type * as uplinkScheduler from './uplinkScheduler.js';

const CONNECT_TIMEOUT_MS = 1_000;
const RECONNECT_INITIAL_MS = 100;
const RECONNECT_MAX_MS = 1_000;
/** Time without data after which a node with pending requests is pinged. */
const PING_AFTER_MS = 200;
/** Time without data after which the connection to a node with pending requests counts as lost. */
const LIVENESS_TIMEOUT_MS = 650;
/** Time that a ping must have been unanswered before the silence of a node counts. */
const PONG_TIMEOUT_MS = 300;
/** The same limits for links without pending requests that are monitored or were used recently. */
const IDLE_PING_AFTER_MS = 1_500;
const IDLE_LIVENESS_TIMEOUT_MS = 3_000;
const UNREACHABLE_RETRY_AFTER_MS = 50;
/** Longest wait of a request for the link to open; about ten round trips between regions. */
const OPEN_TIMEOUT_MS = 250;
/** Idle time after which a link that is not persistent is closed. */
const IDLE_TIMEOUT_MS = 8_000;
/**
 * A stopping node is back or replaced after a second at the earliest, so the retry after this time goes to
 * other nodes.
 */
const STOPPED_RETRY_AFTER_MS = 50;

interface PendingCall {
  resolve: (delivery: exchange.Delivery) => void;
  removeAbortListener: () => void;
  /** The request frame until the link is open. */
  unsentFrame: frames.RequestFrame | null;
  /** The request frame if it is sent in pieces. */
  transfer: uplinkScheduler.Transfer | null;
}

export type LossReason =
  'connectFailed' | 'closed' | 'error' | 'silent' | 'protocolViolation' | 'stopped';

/** State of a link when its connection was closed or could not be opened. */
export interface LinkLoss {
  reason: LossReason;
  detail: string;
  /** Null if no data has arrived on this connection. */
  sinceDataMs: number | null;
  /** Null if no ping was sent on this connection. */
  sincePingMs: number | null;
  pendingCalls: number;
  /** Bytes that this process has not yet handed to the kernel. */
  unsentBytes: number;
}

export interface PeerLinkOptions {
  node: ids.NodeId;
  address: string;
  hello: () => frames.Hello;
  /** Whether the link stays open when idle. */
  isPersistent: boolean;
  uplink: uplinkScheduler.UplinkScheduler;
  onFrame: (link: PeerLink, frame: frames.Frame) => void;
  onConnected: (link: PeerLink) => void;
  /** The node has responded on a new connection, or accepts no more requests. */
  onReachabilityChanged: (link: PeerLink) => void;
  onDisconnected: (link: PeerLink, loss: LinkLoss) => void;
}

export class PeerLink extends exchange.Destination {
  private socket: net.Socket | null = null;

  /** Frames on `socket`. */
  private connection: framedConnection.FramedConnection | null = null;

  private connected = false;

  /** Whether data has arrived on this connection. A frozen node accepts connections but sends nothing. */
  private hasResponded = false;

  /**
   * Whether a frame has arrived on this connection. If the address belongs to another node by now, the first
   * frame says so.
   */
  private isConfirmed = false;

  private stopped = false;

  /** Whether no more requests may be sent on this connection. */
  private retired = false;

  private nextId = 1;

  private readonly pendingCalls = new Map<number, PendingCall>();

  private receivedAtMs = 0;

  private pingedAtMs = 0;

  /** Time of the last data on this connection; unlike `receivedAtMs`, not moved by new requests. */
  private dataAtMs: number | null = null;

  /** Time of the first ping since data last arrived; null if there was none. */
  private unansweredPingMs: number | null = null;

  private usedAtMs = performance.now();

  private isPersistent: boolean;

  /** Whether the last connection attempt failed or the connection was lost; reset when data arrives. */
  private failing = false;

  private connectedAtMs = 0;

  private readonly backoff = new backoff.Backoff({
    initialMs: RECONNECT_INITIAL_MS,
    maxMs: RECONNECT_MAX_MS,
  });

  /** Time of the last disconnection; nodes that stay disconnected for long are removed. */
  downSinceMs: number;

  constructor(private readonly options: PeerLinkOptions) {
    super();
    this.downSinceMs = performance.now();
    this.isPersistent = options.isPersistent;
    if (this.isPersistent) this.connect();
  }

  get node(): ids.NodeId {
    return this.options.node;
  }

  get address(): string {
    return this.options.address;
  }

  /** Whether the node has responded on the open connection and accepts requests. */
  get isReady(): boolean {
    return this.connected && this.hasResponded && !this.retired;
  }

  /** Whether `send` can be called; it opens the link if necessary. */
  get acceptsRequests(): boolean {
    if (this.isReady) return true;
    if (this.stopped || this.failing || this.retired) return false;
    // A node that accepts the connection but does not respond in time may be frozen.
    return !this.connected || performance.now() - this.connectedAtMs < OPEN_TIMEOUT_MS;
  }

  /** False after a failure or when the node accepts no more requests; true for links never opened. */
  get isReachable(): boolean {
    return !this.failing && !this.retired;
  }

  get isOpen(): boolean {
    return this.connected;
  }

  /** Whether the link was opened on demand and has no pending requests or transfers. */
  get isIdle(): boolean {
    if (!this.connected || this.isPersistent || this.pendingCalls.size > 0) return false;
    return !this.connection!.isTransferring;
  }

  get lastUsedMs(): number {
    return this.usedAtMs;
  }

  get isDown(): boolean {
    return !this.connected && (this.failing || this.isPersistent);
  }

  /** Opens the link and keeps it open, or allows it to close when idle. */
  setPersistent(isPersistent: boolean): void {
    if (this.isPersistent === isPersistent) return;
    this.isPersistent = isPersistent;
    if (isPersistent) this.connectNow();
  }

  /** Sends a frame; dropped while the link is not connected. */
  sendFrame(frame: frames.Frame): void {
    if (this.connected) this.connection!.send(frame);
  }

  /** Sends a frame that was encoded once for several nodes. */
  sendEncoded(bytes: Buffer, type: frames.Frame['type']): void {
    if (this.connected) this.connection!.sendEncoded(bytes, type);
  }

  /** Opens the link if it is closed and not waiting for a reconnect. */
  open(): void {
    this.usedAtMs = performance.now();
    if (!this.failing) this.connectNow();
  }

  send(req: exchange.ForwardedRequest, signal: AbortSignal): Promise<exchange.Delivery> {
    return new Promise((resolve) => {
      if (!this.acceptsRequests) {
        const outcome = exchange.refused('peerUnreachable', UNREACHABLE_RETRY_AFTER_MS);
        resolve({ outcome, report: null });
        return;
      }
      const id = this.nextId;
      this.nextId += 1;
      this.usedAtMs = performance.now();
      const cancel = () => this.cancel(id);
      signal.addEventListener('abort', cancel, { once: true });
      const removeAbortListener = () => signal.removeEventListener('abort', cancel);
      if (this.pendingCalls.size === 0) this.receivedAtMs = performance.now();
      const frame: frames.RequestFrame = { type: 'request', id, sentMs: 0, req };
      const call = { resolve, removeAbortListener, unsentFrame: frame, transfer: null };
      this.pendingCalls.set(id, call);
      if (this.mayWrite(req)) {
        this.writeCall(call);
      } else {
        this.open();
        setTimeout(() => this.refuseUnopened(id), OPEN_TIMEOUT_MS).unref();
      }
    });
  }

  /**
   * Closes an idle link, and checks liveness if the link is monitored or was used recently. Called several
   * times a second.
   */
  maintain(isMonitored: boolean): void {
    const now = performance.now();
    if (!this.connected) return;
    if (this.isIdle && now - this.usedAtMs > IDLE_TIMEOUT_MS) {
      this.closeIfIdle();
      return;
    }
    if (isMonitored || now - this.usedAtMs < IDLE_LIVENESS_TIMEOUT_MS) {
      this.pingOrFail(IDLE_PING_AFTER_MS, IDLE_LIVENESS_TIMEOUT_MS);
    }
  }

  /**
   * Whether the request may be written now. A request that must run at most once waits until the node has
   * responded on this connection, since a frozen node would run it after resuming. One with home regions
   * waits until the node is confirmed, since another node at its address may be in another region.
   */
  private mayWrite({ semantics, isConfined }: exchange.ForwardedRequest): boolean {
    if (!this.connected) return false;
    if (isConfined) return this.isConfirmed && !this.retired;
    return this.hasResponded || semantics === 'repeatable';
  }

  private writeCall(call: PendingCall): void {
    const { unsentFrame } = call;
    if (unsentFrame === null) return;
    call.unsentFrame = null;
    const sentMs = Math.round(performance.now());
    call.transfer = this.connection!.send({ ...unsentFrame, sentMs });
  }

  private writeUnsent(): void {
    for (const call of this.pendingCalls.values()) {
      if (call.unsentFrame !== null && this.mayWrite(call.unsentFrame.req)) this.writeCall(call);
    }
  }

  private cancel(id: number): void {
    if (!this.refuseUnsent(id, 'cancelled')) this.sendFrame({ type: 'cancel', id });
  }

  /** Refuses a request that still waits for the link to open. */
  private refuseUnopened(id: number): void {
    if (this.pendingCalls.get(id)?.unsentFrame != null) this.refuseUnsent(id, 'peerUnreachable');
  }

  /** @returns false if the request has been written completely and may run */
  private refuseUnsent(id: number, reason: string): boolean {
    const call = this.pendingCalls.get(id);
    if (call === undefined) return false;
    if (call.unsentFrame === null && !call.transfer?.cancel()) return false;
    this.pendingCalls.delete(id);
    call.removeAbortListener();
    call.resolve({ outcome: exchange.refused(reason, UNREACHABLE_RETRY_AFTER_MS), report: null });
    return true;
  }

  stop(): void {
    this.stopped = true;
    this.fail('stopped', 'stopped');
  }

  /** Closes the link unless requests are pending; the next request opens it again. */
  closeIfIdle(): void {
    if (this.pendingCalls.size > 0) return;
    const { connection } = this;
    this.socket = null;
    this.connection = null;
    this.connected = false;
    this.downSinceMs = performance.now();
    connection?.end();
  }

  /** Connects without waiting for the back-off delay, for example when the node has just connected here. */
  connectNow(): void {
    if (!this.connected && this.socket === null && !this.stopped) this.connect();
  }

  private connect(): void {
    const { host, port } = networkAddress.parse(this.options.address);
    const socket = net.connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: 2_000,
    });
    const { uplink } = this.options;
    const connection = new framedConnection.FramedConnection(socket, this.options.address, uplink);
    this.socket = socket;
    this.connection = connection;
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (!this.connected) this.fail('connectFailed', 'connect timeout', socket);
    });
    socket.on('connect', () => {
      socket.setTimeout(0);
      if (socket !== this.socket) {
        socket.destroy();
        return;
      }
      this.connected = true;
      this.backoff.reset();
      this.hasResponded = false;
      this.isConfirmed = false;
      this.retired = false;
      this.receivedAtMs = performance.now();
      this.connectedAtMs = this.receivedAtMs;
      this.pingedAtMs = this.receivedAtMs;
      this.dataAtMs = null;
      this.unansweredPingMs = this.receivedAtMs;
      // Not in pieces, since the hello must be the first frame.
      socket.write(frames.encode(this.options.hello()));
      socket.write(frames.encode({ type: 'ping' }));
      this.writeUnsent();
      this.options.onConnected(this);
    });
    socket.on('data', (chunk) => {
      if (socket !== this.socket) return;
      this.receivedAtMs = performance.now();
      this.dataAtMs = this.receivedAtMs;
      this.unansweredPingMs = null;
      if (!this.hasResponded) {
        this.hasResponded = true;
        this.failing = false;
        this.writeUnsent();
        this.options.onReachabilityChanged(this);
      }
      try {
        for (const frame of connection.receive(chunk)) {
          this.handleFrame(frame);
          this.confirm();
        }
      } catch (err) {
        this.fail('protocolViolation', String(err), socket);
      }
    });
    socket.on('error', (err) => this.fail('error', err.message, socket));
    socket.on('close', () => this.fail('closed', 'connection closed', socket));
  }

  /** Called after the first frame on a connection has been handled, and after later ones. */
  private confirm(): void {
    if (this.isConfirmed) return;
    this.isConfirmed = true;
    this.writeUnsent();
  }

  private handleFrame(frame: frames.Frame): void {
    if (frame.type === 'outcome') {
      const call = this.pendingCalls.get(frame.id);
      if (call === undefined) return;
      this.pendingCalls.delete(frame.id);
      call.removeAbortListener();
      call.resolve(frame.delivery);
    } else if (frame.type === 'goAway') {
      this.handleGoAway(new Set(frame.running));
    } else if (frame.type !== 'pong') {
      this.options.onFrame(this, frame);
    }
  }

  /** Sends no more requests on this connection; those that have been written still complete. */
  retire(): void {
    this.retired = true;
    for (const [id, { unsentFrame }] of this.pendingCalls) {
      if (unsentFrame?.req.isConfined) this.refuseUnsent(id, 'peerUnreachable');
    }
    this.options.onReachabilityChanged(this);
  }

  /** Refuses the pending requests that the node has not started: they have not run. */
  private handleGoAway(running: ReadonlySet<number>): void {
    this.retire();
    for (const [id, call] of this.pendingCalls) {
      if (!running.has(id)) {
        this.pendingCalls.delete(id);
        call.transfer?.cancel();
        call.removeAbortListener();
        const outcome = exchange.refused('nodeStopped', STOPPED_RETRY_AFTER_MS);
        call.resolve({ outcome, report: null });
      }
    }
  }

  private fail(reason: LossReason, detail: string, socket = this.socket): void {
    if (socket === null || socket !== this.socket) return;
    const loss = this.describeLoss(reason, detail, socket);
    this.connection!.destroy();
    this.socket = null;
    this.connection = null;
    const wasConnected = this.connected;
    const wasFailing = this.failing;
    this.connected = false;
    this.failing = true;
    if (wasConnected || !wasFailing) this.downSinceMs = performance.now();
    for (const [id, call] of this.pendingCalls) {
      if (!this.refuseUnsent(id, 'peerUnreachable')) {
        call.removeAbortListener();
        call.resolve({ outcome: exchange.lost(`the node was lost: ${detail}`), report: null });
      }
    }
    this.pendingCalls.clear();
    if (wasConnected || !wasFailing) this.options.onDisconnected(this, loss);
    if (!this.stopped) {
      setTimeout(() => this.connectNow(), this.backoff.nextMs()).unref();
    }
  }

  private describeLoss(reason: LossReason, detail: string, socket: net.Socket): LinkLoss {
    const now = performance.now();
    const since = (atMs: number | null) => (atMs === null ? null : Math.round(now - atMs));
    return {
      reason: this.connected || reason === 'stopped' ? reason : 'connectFailed',
      detail,
      sinceDataMs: this.connected ? since(this.dataAtMs) : null,
      sincePingMs: this.connected ? since(this.pingedAtMs) : null,
      pendingCalls: this.pendingCalls.size,
      unsentBytes: socket.writableLength,
    };
  }

  /** Checks liveness while requests are pending. Called ten times a second. */
  checkLiveness(): void {
    if (this.pendingCalls.size === 0 || !this.connected) return;
    this.pingOrFail(PING_AFTER_MS, LIVENESS_TIMEOUT_MS);
  }

  /** Pings a silent node, and closes the connection when the silence exceeds the timeout. */
  private pingOrFail(pingAfterMs: number, timeoutMs: number): void {
    const now = performance.now();
    const silentMs = now - this.receivedAtMs;
    if (silentMs <= pingAfterMs) return;
    const pingedForMs = this.unansweredPingMs === null ? 0 : now - this.unansweredPingMs;
    if (silentMs > timeoutMs && pingedForMs > PONG_TIMEOUT_MS) {
      void this.failIfSilent();
    } else if (now - this.pingedAtMs > PING_AFTER_MS) {
      this.pingedAtMs = now;
      this.unansweredPingMs ??= now;
      this.sendFrame({ type: 'ping' });
    }
  }

  /** Closes the connection unless data has arrived that this process has not read yet. */
  private async failIfSilent(): Promise<void> {
    const { socket, receivedAtMs } = this;
    await eventLoop.nextPoll();
    if (this.receivedAtMs === receivedAtMs) this.fail('silent', 'no sign of life', socket);
  }
}
