/**
 * This node's connection to another node: carries requests for the upstream there, and what this
 * node states. Kept open and opened again after a loss for as long as the node is a member.
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
const WATCH_INTERVAL_MS = 100;
const UNREACHABLE_RETRY_MS = 50;
/** A node that stops is back or replaced after a second at least; other nodes are asked meanwhile. */
const STOPPED_RETRY_MS = 50;

interface Call {
  resolve: (delivery: exchange.Delivery) => void;
  release: () => void;
}

export interface PeerLinkOptions {
  node: ids.NodeId;
  address: string;
  hello: () => frames.Hello;
  onFrame: (link: PeerLink, frame: frames.Frame) => void;
  onUp: (link: PeerLink) => void;
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

  private watch: NodeJS.Timeout | null = null;

  private readonly backoff = new backoff.Backoff({
    initialMs: RECONNECT_INITIAL_MS,
    maxMs: RECONNECT_MAX_MS,
  });

  /** Time of the last loss, for members that never come back. */
  downSinceMs: number;

  constructor(private readonly options: PeerLinkOptions) {
    super();
    this.downSinceMs = performance.now();
    this.connect();
  }

  get node(): ids.NodeId {
    return this.options.node;
  }

  /** Whether requests can be sent there. */
  get usable(): boolean {
    return this.up && this.answered && !this.dismissed;
  }

  get connected(): boolean {
    return this.up;
  }

  /** Tells the node something; without effect while the link is down. */
  tell(frame: frames.Frame): void {
    if (this.up) this.socket!.write(frames.encode(frame));
  }

  /** Writes bytes that were encoded once for several nodes. */
  tellEncoded(bytes: Buffer): void {
    if (this.up) this.socket!.write(bytes);
  }

  send(req: exchange.ForwardedRequest, signal: AbortSignal): Promise<exchange.Delivery> {
    return new Promise((resolve) => {
      if (!this.usable) {
        const outcome = exchange.refused('peerUnreachable', UNREACHABLE_RETRY_MS);
        resolve({ outcome, report: null });
        return;
      }
      const id = this.nextId;
      this.nextId += 1;
      const cancel = () => this.tell({ type: 'cancel', id });
      signal.addEventListener('abort', cancel, { once: true });
      const release = () => signal.removeEventListener('abort', cancel);
      if (this.calls.size === 0) this.heardAtMs = performance.now();
      this.calls.set(id, { resolve, release });
      this.socket!.write(
        frames.encode({ type: 'request', id, sentMs: Math.round(performance.now()), req }),
      );
      this.startWatch();
    });
  }

  stop(): void {
    this.stopped = true;
    this.lose('stopped');
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
      this.up = true;
      this.backoff.reset();
      this.answered = false;
      this.dismissed = false;
      socket.write(frames.encode(this.options.hello()));
      socket.write(frames.encode({ type: 'ping' }));
      this.options.onUp(this);
    });
    socket.on('data', (chunk) => {
      this.heardAtMs = performance.now();
      this.answered = true;
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

  /** Requests that the node has not taken have not run. */
  private dismiss(running: ReadonlySet<number>): void {
    this.dismissed = true;
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
    this.up = false;
    if (wasUp) this.downSinceMs = performance.now();
    for (const call of this.calls.values()) {
      call.release();
      call.resolve({ outcome: exchange.lost(`the node was lost: ${detail}`), report: null });
    }
    this.calls.clear();
    if (wasUp) this.options.onDown(this, detail);
    if (!this.stopped) {
      setTimeout(() => this.hurry(), this.backoff.nextMs()).unref();
    }
  }

  private startWatch(): void {
    if (this.watch !== null) return;
    this.watch = setInterval(() => this.checkSilence(), WATCH_INTERVAL_MS);
  }

  private checkSilence(): void {
    if (this.calls.size === 0 || !this.up) {
      clearInterval(this.watch!);
      this.watch = null;
      return;
    }
    const now = performance.now();
    const silentMs = now - this.heardAtMs;
    if (silentMs > SILENCE_LIMIT_MS) {
      this.lose('no sign of life');
    } else if (
      silentMs > SILENCE_BEFORE_PING_MS &&
      now - this.pingedAtMs > SILENCE_BEFORE_PING_MS
    ) {
      this.pingedAtMs = now;
      this.tell({ type: 'ping' });
    }
  }
}
