/** Takes connections of other nodes: serves their requests here and hears what they state. */

import * as net from 'node:net';
import type * as members from '../membership/members.js';
import * as eventLoop from '../eventLoop.js';
import * as networkAddress from '../networkAddress.js';
import * as exchange from '../routing/exchange.js';
import * as frames from './frames.js';
import * as transitDelay from './transitDelay.js';

/** Wait that is named to callers of a node that stops. */
const STOPPING_RETRY_MS = 50;

export interface PeerSession {
  /** Known after the other node's hello. */
  hello: frames.Hello | null;
  tell(frame: frames.Frame): void;
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

  readonly transit = new transitDelay.TransitDelay();

  /** The other node was told that further requests are not taken. */
  closing = false;

  constructor(readonly socket: net.Socket) {}

  /** The other node is gone or has given the connection up, and takes no more answers. */
  end(): void {
    this.socket.destroy();
    for (const controller of this.running.values()) controller.abort();
  }

  tell(frame: frames.Frame): void {
    if (!this.socket.destroyed) this.socket.write(frames.encode(frame));
  }
}

export class PeerServer {
  private readonly server: net.Server;

  private readonly sessions = new Set<Session>();

  private refusing = false;

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
    this.refusing = true;
  }

  /**
   * Tells other nodes that requests which they have sent and which are not under way here have not run
   * and will not run, so that they need not be given up as lost when the connections end.
   */
  sayGoodbye(): void {
    this.server.close();
    for (const session of this.sessions) {
      session.closing = true;
      session.tell({ type: 'goodbye', running: [...session.running.keys()] });
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
        for (const frame of splitter.push(chunk)) this.take(session, frame);
      } catch (err) {
        this.options.onViolation(String(err));
        socket.destroy();
      }
    });
    for (const event of ['end', 'error', 'close']) {
      socket.on(event, () => {
        this.sessions.delete(session);
        session.end();
      });
    }
  }

  private take(session: Session, frame: frames.Frame): void {
    switch (frame.type) {
      case 'request':
        void this.serve(session, frame);
        break;
      case 'cancel':
        session.running.get(frame.id)?.abort();
        break;
      case 'ping':
        session.tell({ type: 'pong' });
        break;
      default:
        if (frame.type === 'hello') this.greet(session, frame);
        this.options.onFrame(session, frame);
    }
  }

  /**
   * A node has one link to each other, so one that connects anew has given up its earlier link. It may
   * have another here to a node that had this address before.
   */
  private greet(session: Session, hello: frames.Hello): void {
    session.hello = hello;
    if (hello.to !== this.options.statement().node) {
      session.tell({ type: 'misdirected', node: hello.to });
    }
    for (const other of this.sessions) {
      const isSameLink = other.hello?.from.node === hello.from.node && other.hello.to === hello.to;
      if (other !== session && isSameLink) other.end();
    }
  }

  private async serve(session: Session, frame: frames.RequestFrame): Promise<void> {
    // The other node has learned by the goodbye that this request is not run.
    if (session.closing) return;
    const { id } = frame;
    const req = arrived(frame, session.transit.note(frame.sentMs, performance.now()));
    if (this.refusing) {
      const outcome = exchange.refused('nodeStopping', STOPPING_RETRY_MS);
      session.tell({ type: 'outcome', id, delivery: { outcome, report: null } });
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
      session.tell({ type: 'members', members: [this.options.statement()] });
    }
    session.tell({ type: 'outcome', id, delivery });
  }
}

/** The request with the time that is left after its way here. */
function arrived({ req }: frames.RequestFrame, heldUpMs: number): exchange.ForwardedRequest {
  const { targetLeftMs, deadlineLeftMs } = req;
  return {
    ...req,
    targetLeftMs: targetLeftMs - heldUpMs,
    deadlineLeftMs: deadlineLeftMs - heldUpMs,
  };
}
