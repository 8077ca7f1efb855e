/**
 * Stand-in for the network link between two regions, `a` and `b`: forwards TCP connections with a
 * delay, a bandwidth limit and faults in each direction.
 */

import * as net from 'node:net';
import * as addresses from '../common/address.js';
import * as shapers from './shaper.js';

/** `ab` is from region `a` to region `b`. */
export type Direction = 'ab' | 'ba';

export interface Mapping {
  name: string;
  /** Address on which connections are accepted. */
  listen: string;
  /** Address to which they are forwarded. */
  target: string;
  /** Direction in which connections are opened. */
  opens: Direction;
}

export interface LinkOptions {
  /** Default 12 ms. */
  delayMs?: number;
  /** Bandwidth of each direction. Default 30 Mbit/s. */
  bitsPerSecond?: number;
}

export interface MappingStats extends Mapping {
  /** Connections open now. */
  connections: number;
  /** Connections accepted so far. */
  opened: number;
  bytes: Record<Direction, number>;
}

/** Answer of `GET /control/stats`. */
export interface LinkStats {
  directions: Record<
    Direction,
    { bytes: number; queuedBytes: number; frozen: boolean; cut: boolean }
  >;
  mappings: MappingStats[];
}

/** Large reads are split into chunks, so that connections share the bandwidth evenly. */
const CHUNK_BYTES = 8 * 1024;

interface Forwarding {
  mapping: Mapping;
  /** Created anew when a cut ends; undefined while cut. */
  server: net.Server | undefined;
  readonly sockets: Set<net.Socket>;
  connections: number;
  opened: number;
  readonly bytes: Record<Direction, number>;
}

export class Link {
  private readonly shapers: Record<Direction, shapers.Shaper>;

  private readonly cut: Record<Direction, boolean> = { ab: false, ba: false };

  private readonly forwardings = new Map<string, Forwarding>();

  constructor(options: LinkOptions = {}) {
    const { delayMs = 12, bitsPerSecond = 30_000_000 } = options;
    this.shapers = {
      ab: new shapers.Shaper(delayMs, bitsPerSecond),
      ba: new shapers.Shaper(delayMs, bitsPerSecond),
    };
  }

  /** Adds a mapping and returns it with the actual listen address. */
  async add(mapping: Mapping): Promise<Mapping> {
    if (this.forwardings.has(mapping.name)) throw new RangeError(`${mapping.name} exists already`);
    const forwarding: Forwarding = {
      mapping,
      server: undefined,
      sockets: new Set(),
      connections: 0,
      opened: 0,
      bytes: { ab: 0, ba: 0 },
    };
    this.forwardings.set(mapping.name, forwarding);
    try {
      if (!this.cut[mapping.opens]) await this.open(forwarding);
    } catch (err) {
      this.forwardings.delete(mapping.name);
      throw err;
    }
    return forwarding.mapping;
  }

  remove(name: string): void {
    const forwarding = this.forwardings.get(name);
    if (forwarding === undefined) return;
    closeForwarding(forwarding);
    this.forwardings.delete(name);
  }

  /** While cut, connections opened in this direction are destroyed and new ones are refused. */
  async setCut(direction: Direction, cut: boolean): Promise<void> {
    if (this.cut[direction] === cut) return;
    this.cut[direction] = cut;
    const affected = [...this.forwardings.values()].filter(
      (forwarding) => forwarding.mapping.opens === direction,
    );
    if (cut) affected.forEach(closeForwarding);
    else await Promise.all(affected.map((forwarding) => this.open(forwarding)));
  }

  setFrozen(direction: Direction, frozen: boolean): void {
    if (frozen) this.shapers[direction].freeze();
    else this.shapers[direction].thaw();
  }

  setDelayMs(direction: Direction, delayMs: number): void {
    this.shapers[direction].setDelayMs(delayMs);
  }

  setBitsPerSecond(direction: Direction, bitsPerSecond: number): void {
    this.shapers[direction].setBitsPerSecond(bitsPerSecond);
  }

  stats(): LinkStats {
    const directionStats = (direction: Direction) => {
      const { bytes, queuedBytes, frozen } = this.shapers[direction];
      return { bytes, queuedBytes, frozen, cut: this.cut[direction] };
    };
    return {
      directions: { ab: directionStats('ab'), ba: directionStats('ba') },
      mappings: [...this.forwardings.values()].map(({ mapping, connections, opened, bytes }) => ({
        ...mapping,
        connections,
        opened,
        bytes,
      })),
    };
  }

  close(): void {
    this.forwardings.forEach(closeForwarding);
    this.shapers.ab.close();
    this.shapers.ba.close();
  }

  private async open(forwarding: Forwarding): Promise<void> {
    const options = { allowHalfOpen: true, noDelay: true, pauseOnConnect: true };
    const server = net.createServer(options, (socket) => {
      void this.forward(forwarding, socket);
    });

    forwarding.server = server;
    const listen = await addresses.listen(server, forwarding.mapping.listen);

    forwarding.mapping = { ...forwarding.mapping, listen };
  }

  private async forward(forwarding: Forwarding, accepted: net.Socket): Promise<void> {
    const { opens, target } = forwarding.mapping;
    const returnDirection = opposite(opens);
    const { host, port } = addresses.parseAddress(target);

    forwarding.opened += 1;
    forwarding.connections += 1;
    accepted.once('close', () => {
      forwarding.connections -= 1;
    });

    this.track(forwarding, accepted);
    // Opening a connection takes a round trip before any data, as a TCP handshake does.
    await this.waitForCrossing(opens);
    if (accepted.destroyed) return;
    const outgoing = net.connect({ host, port, allowHalfOpen: true, noDelay: true });
    outgoing.pause();
    this.track(forwarding, outgoing);
    // After a clean close, the other socket writes its buffered data and then ends by itself.
    accepted.once('close', () => {
      if (!isComplete(accepted)) this.shapers[opens].send(0, () => outgoing.destroy());
    });
    outgoing.once('close', () => {
      if (!isComplete(outgoing)) this.shapers[returnDirection].send(0, () => accepted.destroy());
    });
    outgoing.once('connect', () => {
      this.pump(forwarding, outgoing, accepted, returnDirection);
      this.shapers[returnDirection].send(0, () => this.pump(forwarding, accepted, outgoing, opens));
    });
  }

  private track(forwarding: Forwarding, socket: net.Socket): void {
    forwarding.sockets.add(socket);
    socket.once('close', () => forwarding.sockets.delete(socket));
    // The close event forwards a reset to the other socket.
    socket.on('error', () => undefined);
  }

  private waitForCrossing(direction: Direction): Promise<void> {
    return new Promise((resolve) => {
      this.shapers[direction].send(0, resolve);
    });
  }

  /** Forwards bytes in one direction; pauses reading while a full window of bytes is in flight. */
  private pump(
    forwarding: Forwarding,
    from: net.Socket,
    to: net.Socket,
    direction: Direction,
  ): void {
    const shaper = this.shapers[direction];
    let inFlightBytes = 0;
    const resumeIfRoom = () => {
      if (inFlightBytes < shaper.windowBytes && !to.writableNeedDrain) from.resume();
    };
    const sendChunk = (chunk: Buffer) => {
      inFlightBytes += chunk.length;

      forwarding.bytes[direction] += chunk.length;
      shaper.send(chunk.length, () => {
        inFlightBytes -= chunk.length;
        if (!to.destroyed) to.write(chunk);
        resumeIfRoom();
      });
    };
    from.on('data', (data: Buffer) => {
      for (let start = 0; start < data.length; start += CHUNK_BYTES) {
        sendChunk(data.subarray(start, start + CHUNK_BYTES));
      }
      if (inFlightBytes >= shaper.windowBytes) from.pause();
    });
    from.once('end', () => shaper.send(0, () => to.end()));
    to.on('drain', resumeIfRoom);
    from.resume();
  }
}

export function opposite(direction: Direction): Direction {
  return direction === 'ab' ? 'ba' : 'ab';
}

function isComplete(socket: net.Socket): boolean {
  return socket.readableEnded && socket.writableFinished;
}

function closeForwarding(forwarding: Forwarding): void {
  forwarding.server?.close();

  forwarding.server = undefined;
  forwarding.sockets.forEach((socket) => socket.destroy());
}
