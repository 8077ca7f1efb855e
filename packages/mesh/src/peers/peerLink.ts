/**
 * This node's connection to another node: carries requests for the upstream there, and what this
 * node tells. A link to a neighbour is kept open; another is opened for the first request and closed
 * when it has not been used for a while. After a loss either is tried again until the node answers.
 */

import * as net from 'node:net';
import { backoff, type ids } from '@godwittrack/core';
import * as exchange from '../routing/exchange.js';
import * as networkAddress from '../networkAddress.js';
import * as frames from './frames.js';

const CONNECT_TIMEOUT_MS = 1_000;
const RECONNECT_INITIAL_MS = 100;
const RECONNECT_MAX_MS = 1_000;
/** While requests are under way, a silent node is asked for a sign of life after this time. */
const SILENCE_BEFORE_PING_MS = 200;
/** A node that gives no sign of life for this long is taken as lost. */
const SILENCE_LIMIT_MS = 650;
/** A link that knowledge depends on is asked for a sign of life after this silence, also when unused. */
const KEPT_SILENCE_BEFORE_PING_MS = 1_500;
const KEPT_SILENCE_LIMIT_MS = 3_000;
const UNREACHABLE_RETRY_MS = 50;
/** Time for a request to wait until a link is open; a round trip between regions takes a tenth. */
const OPEN_LIMIT_MS = 250;
/** Time without use after which a link is closed that is not kept. */
const IDLE_CLOSE_MS = 8_000;
/** A node that stops is back or replaced after a second at least; other nodes are asked meanwhile. */
const STOPPED_RETRY_MS = 50;

interface Call {
  resolve: (delivery: exchange.Delivery) => void;
  release: () => void;
  /** The request, until it is written. */
  unsent: frames.RequestFrame | null;
}

export interface PeerLinkOptions {
  node: ids.NodeId;
  address: string;
  hello: () => frames.Hello;
  /** Whether the link stays open when it is not used. */
  kept: boolean;
  onFrame: (link: PeerLink, frame: frames.Frame) => void;
  onUp: (link: PeerLink) => void;
  /** The node has answered on a new connection, or takes no more requests. */
  onReachChanged: (link: PeerLink) => void;
  onDown: (link: PeerLink, detail: string) => void;
}

export class PeerLink extends exchange.Destination {
  private socket: net.Socket | null = null;

  private up = false;

  /** The node has answered on this connection; a frozen one is connected to but does not answer. */
  private answered = false;

  private stopped = false;

  /** The node takes no more requests on this connection. */
  private dismissed = false;

  private nextId = 1;

  private readonly calls = new Map<number, Call>();

  private heardAtMs = 0;

  private pingedAtMs = 0;

  private usedAtMs = performance.now();

  private isKept: boolean;

  /** The last connection was lost or could not be made; the link is tried again until it answers. */
  private failing = false;

  private openedAtMs = 0;

  private readonly backoff = new backoff.Backoff({
    initialMs: RECONNECT_INITIAL_MS,
    maxMs: RECONNECT_MAX_MS,
  });

  /** Time of the last loss, for members that never come back. */
  downSinceMs: number;

  constructor(private readonly options: PeerLinkOptions) {
    super();
    this.downSinceMs = performance.now();
    this.isKept = options.kept;
    if (this.isKept) this.connect();
  }

  get node(): ids.NodeId {
    return this.options.node;
  }

  get address(): string {
    return this.options.address;
  }

  /** The node has answered on the open connection and takes requests. */
  get usable(): boolean {
    return this.up && this.answered && !this.dismissed;
  }

  /** A request can be given to the link, which opens if it is closed. */
  get accepts(): boolean {
    if (this.usable) return true;
    if (this.stopped || this.failing || this.dismissed) return false;
    // One that has been opened and does not answer may stand still.
    return !this.up || performance.now() - this.openedAtMs < OPEN_LIMIT_MS;
  }

  /** Nothing speaks against the node being there. */
  get isReachable(): boolean {
    return !this.failing && !this.dismissed;
  }

  get isOpen(): boolean {
    return this.up;
  }

  /** Open for requests only, with none under way. */
  get isSpare(): boolean {
    return this.up && !this.isKept && this.calls.size === 0;
  }

  get lastUsedMs(): number {
    return this.usedAtMs;
  }

  get isDown(): boolean {
    return !this.up && (this.failing || this.isKept);
  }

  /** Keeps the link open from now on, or lets it close when it is not used. */
  setKept(kept: boolean): void {
    if (this.isKept === kept) return;
    this.isKept = kept;
    if (kept) this.hurry();
  }

  /** Tells the node something; without effect while the link is down. */
  tell(frame: frames.Frame): void {
    if (this.up) this.write(frames.encode(frame));
  }

  /** Writes bytes that were encoded once for several nodes. */
  tellEncoded(bytes: Buffer): void {
    if (this.up) this.write(bytes);
  }

  /** Opens the link if it is closed, so that the node can be told something. */
  open(): void {
    this.usedAtMs = performance.now();
    if (!this.failing) this.hurry();
  }

  send(req: exchange.ForwardedRequest, signal: AbortSignal): Promise<exchange.Delivery> {
    return new Promise((resolve) => {
      if (!this.accepts) {
        const outcome = exchange.refused('peerUnreachable', UNREACHABLE_RETRY_MS);
        resolve({ outcome, report: null });
        return;
      }
      const id = this.nextId;
      this.nextId += 1;
      this.usedAtMs = performance.now();
      const cancel = () => this.cancel(id);
      signal.addEventListener('abort', cancel, { once: true });
      const release = () => signal.removeEventListener('abort', cancel);
      if (this.calls.size === 0) this.heardAtMs = performance.now();
      const frame: frames.RequestFrame = { type: 'request', id, sentMs: 0, req };
      const call: Call = { resolve, release, unsent: frame };
      this.calls.set(id, call);
      if (this.maySend(req)) {
        this.writeCall(call);
      } else {
        this.open();
        setTimeout(() => this.refuseUnsent(id, 'peerUnreachable'), OPEN_LIMIT_MS).unref();
      }
    });
  }

  /**
   * Called several times a second: closes what is not used, and checks that the link still works where
   * knowledge depends on it or where the node was told something a moment ago.
   */
  review(isVital: boolean): void {
    const now = performance.now();
    if (!this.up) return;
    if (!this.isKept && this.calls.size === 0 && now - this.usedAtMs > IDLE_CLOSE_MS) {
      this.closeUnused();
      return;
    }
    if (isVital || now - this.usedAtMs < KEPT_SILENCE_LIMIT_MS) {
      this.demandLife(KEPT_SILENCE_BEFORE_PING_MS, KEPT_SILENCE_LIMIT_MS);
    }
  }

  /**
   * Whether the request may be written now. One that may run only once waits for a sign of life, since a
   * node that stands still would run it when it wakes.
   */
  private maySend({ semantics }: exchange.ForwardedRequest): boolean {
    return this.up && (this.answered || semantics === 'repeatable');
  }

  private writeCall(call: Call): void {
    const { unsent } = call;
    if (unsent === null) return;
    call.unsent = null;
    this.write(frames.encode({ ...unsent, sentMs: Math.round(performance.now()) }));
  }

  private writeUnsent(): void {
    for (const call of this.calls.values()) {
      if (call.unsent !== null && this.maySend(call.unsent.req)) this.writeCall(call);
    }
  }

  private write(bytes: Buffer): void {
    this.socket!.write(bytes);
  }

  private cancel(id: number): void {
    if (!this.refuseUnsent(id, 'cancelled')) this.tell({ type: 'cancel', id });
  }

  /** @returns false where the request was written already, so that it may run */
  private refuseUnsent(id: number, reason: string): boolean {
    const call = this.calls.get(id);
    if (call === undefined || call.unsent === null) return false;
    this.calls.delete(id);
    call.release();
    call.resolve({ outcome: exchange.refused(reason, UNREACHABLE_RETRY_MS), report: null });
    return true;
  }

  stop(): void {
    this.stopped = true;
    this.lose('stopped');
  }

  /** Closes a link without requests under way; it opens again for the next. */
  closeUnused(): void {
    if (this.calls.size > 0) return;
    const { socket } = this;
    this.socket = null;
    this.up = false;
    this.downSinceMs = performance.now();
    socket?.end();
  }

  /** Connects again at once, for example when the node has just connected to this one. */
  hurry(): void {
    if (!this.up && this.socket === null && !this.stopped) this.connect();
  }

  private connect(): void {
    const { host, port } = networkAddress.split(this.options.address);
    const socket = net.connect({
      host,
      port,
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: 2_000,
    });
    const splitter = new frames.FrameSplitter(this.options.address);
    this.socket = socket;
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (!this.up) this.lose('connect timeout', socket);
    });
    socket.on('connect', () => {
      socket.setTimeout(0);
      if (socket !== this.socket) {
        socket.destroy();
        return;
      }
      this.up = true;
      this.backoff.reset();
      this.answered = false;
      this.dismissed = false;
      this.heardAtMs = performance.now();
      this.openedAtMs = this.heardAtMs;
      socket.write(frames.encode(this.options.hello()));
      socket.write(frames.encode({ type: 'ping' }));
      this.writeUnsent();
      this.options.onUp(this);
    });
    socket.on('data', (chunk) => {
      if (socket !== this.socket) return;
      this.heardAtMs = performance.now();
      if (!this.answered) {
        this.answered = true;
        this.failing = false;
        this.writeUnsent();
        this.options.onReachChanged(this);
      }
      try {
        for (const frame of splitter.push(chunk)) this.take(frame);
      } catch (err) {
        this.lose(String(err), socket);
      }
    });
    socket.on('error', (err) => this.lose(err.message, socket));
    socket.on('close', () => this.lose('connection closed', socket));
  }

  private take(frame: frames.Frame): void {
    if (frame.type === 'outcome') {
      const call = this.calls.get(frame.id);
      if (call === undefined) return;
      this.calls.delete(frame.id);
      call.release();
      call.resolve(frame.delivery);
    } else if (frame.type === 'goodbye') {
      this.dismiss(new Set(frame.running));
    } else if (frame.type !== 'pong') {
      this.options.onFrame(this, frame);
    }
  }

  /** Sends no further requests on this connection; those under way are still answered. */
  giveUp(): void {
    this.dismissed = true;
    this.options.onReachChanged(this);
  }

  /** Requests that the node has not taken have not run. */
  private dismiss(running: ReadonlySet<number>): void {
    this.giveUp();
    for (const [id, call] of this.calls) {
      if (!running.has(id)) {
        this.calls.delete(id);
        call.release();
        const outcome = exchange.refused('nodeStopped', STOPPED_RETRY_MS);
        call.resolve({ outcome, report: null });
      }
    }
  }

  private lose(detail: string, socket = this.socket): void {
    if (socket === null || socket !== this.socket) return;
    this.socket = null;
    socket.destroy();
    const wasUp = this.up;
    const wasFailing = this.failing;
    this.up = false;
    this.failing = true;
    if (wasUp || !wasFailing) this.downSinceMs = performance.now();
    for (const [id, call] of this.calls) {
      if (!this.refuseUnsent(id, 'peerUnreachable')) {
        call.release();
        call.resolve({ outcome: exchange.lost(`the node was lost: ${detail}`), report: null });
      }
    }
    this.calls.clear();
    if (wasUp || !wasFailing) this.options.onDown(this, detail);
    if (!this.stopped) {
      setTimeout(() => this.hurry(), this.backoff.nextMs()).unref();
    }
  }

  /** Called ten times a second: while requests are under way, the node must give signs of life. */
  checkSilence(): void {
    if (this.calls.size === 0 || !this.up) return;
    this.demandLife(SILENCE_BEFORE_PING_MS, SILENCE_LIMIT_MS);
  }

  private demandLife(beforePingMs: number, limitMs: number): void {
    const now = performance.now();
    const silentMs = now - this.heardAtMs;
    if (silentMs > limitMs) {
      this.lose('no sign of life');
    } else if (silentMs > beforePingMs && now - this.pingedAtMs > SILENCE_BEFORE_PING_MS) {
      this.pingedAtMs = now;
      this.tell({ type: 'ping' });
    }
  }
}
