/** Takes connections of other nodes: serves their requests here and hears what they state. */

import * as net from 'node:net';
import type * as members from '../membership/members.js';
import * as eventLoop from '../eventLoop.js';
import * as networkAddress from '../networkAddress.js';
import * as exchange from '../routing/exchange.js';
import * as frames from './frames.js';
import * as transitDelay from './transitDelay.js';

/** Wait that is named to callers of a node that stops. */
const STOPPING_RETRY_AFTER_MS = 50;

export interface PeerSession {
  /** Known after the other node's hello. */
  hello: frames.Hello | null;
  sendFrame(frame: frames.Frame): void;
}

export interface PeerServerOptions {
  destination: exchange.Destination;
  /** What this node says of itself. */
  statement: () => members.Member;
  onFrame: (session: PeerSession, frame: frames.Frame) => void;
  onViolation: (detail: string) => void;
}

class Session implements PeerSession {
  hello: frames.Hello | null = null;

  readonly running = new Map<number, AbortController>();

  readonly transitDelay = new transitDelay.TransitDelay();

  /** The other node was told that further requests are not taken. */
  goAwaySent = false;

  constructor(readonly socket: net.Socket) {}

  /** The other node is gone or has given the connection up, and takes no more answers. */
  abort(): void {
    this.socket.destroy();
    for (const controller of this.running.values()) controller.abort();
  }

  sendFrame(frame: frames.Frame): void {
    if (!this.socket.destroyed) this.socket.write(frames.encode(frame));
  }
}

export class PeerServer {
  private readonly server: net.Server;

  private readonly sessions = new Set<Session>();

  private refusesNew = false;

  constructor(private readonly options: PeerServerOptions) {
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  listen(address: string): Promise<void> {
    return networkAddress.listen(this.server, address);
  }

  /** Requests of other nodes under way here. */
  get runningCount(): number {
    let count = 0;
    for (const session of this.sessions) count += session.running.size;
    return count;
  }

  /** Answers further requests of other nodes with a refusal; those under way go on. */
  refuseNew(): void {
    this.refusesNew = true;
  }

  /**
   * Tells other nodes that requests which they have sent and which are not under way here have not run
   * and will not run, so that they need not be given up as lost when the connections end.
   */
  sayGoodbye(): void {
    this.server.close();
    for (const session of this.sessions) {
      session.goAwaySent = true;
      session.sendFrame({ type: 'goodbye', running: [...session.running.keys()] });
    }
  }

  close(): void {
    this.server.close();
    for (const session of this.sessions) session.socket.destroy();
  }

  private accept(socket: net.Socket): void {
    const session = new Session(socket);
    this.sessions.add(session);
    const splitter = new frames.FrameSplitter(`${socket.remoteAddress}`);
    socket.on('data', (chunk) => {
      try {
        for (const frame of splitter.push(chunk)) this.handleFrame(session, frame);
      } catch (err) {
        this.options.onViolation(String(err));
        socket.destroy();
      }
    });
    for (const event of ['end', 'error', 'close']) {
      socket.on(event, () => {
        this.sessions.delete(session);
        session.abort();
      });
    }
  }

  private handleFrame(session: Session, frame: frames.Frame): void {
    switch (frame.type) {
      case 'request':
        void this.serve(session, frame);
        break;
      case 'cancel':
        session.running.get(frame.id)?.abort();
        break;
      case 'ping':
        session.sendFrame({ type: 'pong' });
        break;
      default:
        if (frame.type === 'hello') this.handleHello(session, frame);
        this.options.onFrame(session, frame);
    }
  }

  /**
   * A node has one link to each other, so one that connects anew has given up its earlier link. It may
   * have another here to a node that had this address before.
   */
  private handleHello(session: Session, hello: frames.Hello): void {
    session.hello = hello;
    if (hello.to !== this.options.statement().node) {
      session.sendFrame({ type: 'misdirected', node: hello.to });
    }
    for (const other of this.sessions) {
      const isSameLink = other.hello?.from.node === hello.from.node && other.hello.to === hello.to;
      if (other !== session && isSameLink) other.abort();
    }
  }

  private async serve(session: Session, frame: frames.RequestFrame): Promise<void> {
    // The other node has learned by the goodbye that this request is not run.
    if (session.goAwaySent) return;
    const { id } = frame;
    const req = deductTransitDelay(frame, session.transitDelay.record(frame.sentMs, performance.now()));
    if (this.refusesNew) {
      const outcome = exchange.refused('nodeStopping', STOPPING_RETRY_AFTER_MS);
      session.sendFrame({ type: 'outcome', id, delivery: { outcome, report: null } });
      return;
    }
    const controller = new AbortController();
    session.running.set(id, controller);
    await eventLoop.nextPoll();
    const delivery = controller.signal.aborted
      ? { outcome: exchange.cancelled(), report: null }
      : await this.options.destination.send(req, controller.signal);
    session.running.delete(id);
    if (
      delivery.outcome.type === 'refused' &&
      exchange.STALE_REASONS.has(delivery.outcome.reason)
    ) {
      // The other node would send more requests on what it believes.
      session.sendFrame({ type: 'members', members: [this.options.statement()] });
    }
    session.sendFrame({ type: 'outcome', id, delivery });
  }
}

/** The request with the time that is left after its way here. */
function deductTransitDelay({ req }: frames.RequestFrame, delayMs: number): exchange.ForwardedRequest {
  const { targetLeftMs, deadlineLeftMs } = req;
  return {
    ...req,
    targetLeftMs: targetLeftMs - delayMs,
    deadlineLeftMs: deadlineLeftMs - delayMs,
  };
}
