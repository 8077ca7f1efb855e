/** Probes peers: whether they answer, and which configuration versions and members they know. */

import * as grpc from '@grpc/grpc-js';
import { failures } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import type * as settings from '../settings.js';
import type * as peerChannels from './peerChannels.js';

const PROBE_TIMEOUT_MS = 700;

export class PeerProbe {
  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly channels: peerChannels.PeerChannels,
  ) {}

  addressOf(member: distribution.Member): string {
    return member.region === this.cfg.region ? member.peerAddress : member.externalPeerAddress;
  }

  /** Probes without the member list; null when no answer came or another node has the address. */
  async ask(member: distribution.Member): Promise<distribution.FloorReply | null> {
    try {
      const reply = await this.floor(this.addressOf(member), false);
      return reply.node === member.node ? reply : null;
    } catch {
      return null;
    }
  }

  async answers(member: distribution.Member): Promise<boolean> {
    return (await this.ask(member)) !== null;
  }

  /** Calls `Peers.Floor`. @throws peerUnavailable */
  async floor(address: string, members = true): Promise<distribution.FloorReply> {
    const request = { node: this.cfg.node, region: this.cfg.region, members };
    const options = { deadline: Date.now() + PROBE_TIMEOUT_MS };
    const { peers } = this.channels.get(address);
    return new Promise((resolve, reject) => {
      const done = (err: grpc.ServiceError | null, reply: distribution.FloorReply) => {
        if (err === null) resolve(reply);
        else {
          const detail = err.details;
          reject(failures.toError({ type: 'peerUnavailable', peer: address, detail }, err));
        }
      };
      peers.floor(request, new grpc.Metadata(), options, done);
    });
  }
}
