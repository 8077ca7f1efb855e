/** Accepts connections from other nodes, serves their requests and dispatches their control frames. */

import * as net from 'node:net';
import type * as members from '../membership/members.js';
import * as eventLoop from '../eventLoop.js';
import * as networkAddress from '../networkAddress.js';
import * as exchange from '../routing/exchange.js';
import * as framedConnection from './framedConnection.js';
import type * as frames from './frames.js';
import * as transitDelay from './transitDelay.js';
import type * as uplinkScheduler from './uplinkScheduler.js';

/** Retry delay sent with refusals of a stopping node. */
const STOPPING_RETRY_AFTER_MS = 50;

export interface PeerSession {
  /** Null until the other node has sent its hello. */
  hello: frames.Hello | null;
  sendFrame(frame: frames.Frame): void;
}

export interface PeerServerOptions {
  destination: exchange.Destination;
  uplink: uplinkScheduler.UplinkScheduler;
  /** Member record of this node. */
  selfRecord: () => members.Member;
  onFrame: (session: PeerSession, frame: frames.Frame) => void;
  onProtocolViolation: (detail: string) => void;
}

class Session implements PeerSession {
  hello: frames.Hello | null = null;

  readonly running = new Map<number, AbortController>();

  /**
   * Ended requests whose outcome has not been handed to the kernel completely, with the transfer of an
   * outcome that is sent in pieces.
   */
  readonly unsentOutcomes = new Map<number, uplinkScheduler.Transfer | null>();

  readonly transitDelay = new transitDelay.TransitDelay();

  /** Whether the other node was told that no more requests are accepted. */
  goAwaySent = false;

  constructor(private readonly connection: framedConnection.FramedConnection) {}

  /** Closes the connection after its last frame. */
  end(): void {
    this.connection.end();
  }

  /** Closes the connection and aborts its requests, since the other node no longer reads responses. */
  abort(): void {
    this.connection.destroy();
    for (const controller of this.running.values()) controller.abort();
  }

  /** @throws protocolViolation */
  receive(chunk: Buffer): frames.Frame[] {
    return this.connection.receive(chunk);
  }

  sendFrame(frame: frames.Frame): void {
    this.connection.send(frame);
  }

  sendOutcome(id: number, delivery: exchange.Delivery): void {
    if (!this.connection.isWritable) return;
    this.unsentOutcomes.set(id, null);
    const onFlushed = () => this.unsentOutcomes.delete(id);
    const transfer = this.connection.send({ type: 'outcome', id, delivery }, onFlushed);
    if (this.unsentOutcomes.has(id)) this.unsentOutcomes.set(id, transfer);
  }

  /** Stops a request, or the transfer of its outcome, which the other node no longer reads. */
  cancel(id: number): void {
    this.running.get(id)?.abort();
    if (this.unsentOutcomes.get(id)?.cancel()) {
      this.sendOutcome(id, { outcome: exchange.lost('cancelled'), report: null });
    }
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

  /** Number of requests from other nodes in progress. */
  get runningCount(): number {
    let count = 0;
    for (const session of this.sessions) count += session.running.size;
    return count;
  }

  /** Whether outcomes for other nodes have not been handed to the kernel completely. */
  get hasUnsentOutcomes(): boolean {
    return [...this.sessions].some((session) => session.unsentOutcomes.size > 0);
  }

  /** Refuses new requests from other nodes; those in progress continue. */
  refuseNew(): void {
    this.refusesNew = true;
  }

  /**
   * Stops accepting connections and tells other nodes which requests are in progress or have an outcome that
   * is not sent yet. All others have not run and will not run, so the senders do not have to count them as
   * lost when the connections close.
   */
  sendGoAway(): void {
    this.server.close();
    for (const session of this.sessions) {
      session.goAwaySent = true;
      const running = [...session.running.keys(), ...session.unsentOutcomes.keys()];
      session.sendFrame({ type: 'goAway', running });
    }
  }

  /**
   * Ends the connections after their last frame. The other nodes close their side when they have read
   * everything; closing first could reset a connection and discard what is still on the way.
   */
  endSessions(): void {
    for (const session of this.sessions) session.end();
  }

  get hasOpenSessions(): boolean {
    return this.sessions.size > 0;
  }

  close(): void {
    this.server.close();
    for (const session of this.sessions) session.abort();
  }

  private accept(socket: net.Socket): void {
    const { uplink } = this.options;
    const peer = `${socket.remoteAddress}`;
    const session = new Session(new framedConnection.FramedConnection(socket, peer, uplink));
    this.sessions.add(session);
    socket.on('data', (chunk) => {
      try {
        for (const frame of session.receive(chunk)) this.handleFrame(session, frame);
      } catch (err) {
        this.options.onProtocolViolation(String(err));
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
        session.cancel(frame.id);
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
   * Closes earlier connections of the same link, since a node has only one link to each other node. The
   * sender may have a second link here that is intended for the previous node at this address.
   */
  private handleHello(session: Session, hello: frames.Hello): void {
    session.hello = hello;
    if (hello.to !== this.options.selfRecord().node) {
      session.sendFrame({ type: 'misdirected', node: hello.to });
    }
    for (const other of this.sessions) {
      const isSameLink = other.hello?.from.node === hello.from.node && other.hello.to === hello.to;
      if (other !== session && isSameLink) other.abort();
    }
  }

  private async serve(session: Session, frame: frames.RequestFrame): Promise<void> {
    // The `goAway` frame has told the other node that this request will not run.
    if (session.goAwaySent) return;
    const { id } = frame;
    const req = deductTransitDelay(
      frame,
      session.transitDelay.record(frame.sentMs, performance.now()),
    );
    if (this.refusesNew) {
      const outcome = exchange.refused('nodeStopping', STOPPING_RETRY_AFTER_MS);
      session.sendOutcome(id, { outcome, report: null });
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
      exchange.STALE_STATE_REASONS.has(delivery.outcome.reason)
    ) {
      // The sender has an outdated record of this node and would send more requests based on it.
      session.sendFrame({ type: 'members', members: [this.options.selfRecord()] });
    }
    session.sendOutcome(id, delivery);
  }
}

/** Deducts the transit delay from the remaining times of a request. */
function deductTransitDelay(
  { req }: frames.RequestFrame,
  delayMs: number,
): exchange.ForwardedRequest {
  const { targetLeftMs, deadlineLeftMs } = req;
  return {
    ...req,
    targetLeftMs: targetLeftMs - delayMs,
    deadlineLeftMs: deadlineLeftMs - delayMs,
  };
}
