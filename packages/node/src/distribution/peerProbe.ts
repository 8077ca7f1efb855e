/** Asks a peer for a sign of life, and for what it knows of versions and members. */

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

  async answers(member: distribution.Member): Promise<boolean> {
    const address =
      member.region === this.cfg.region ? member.peerAddress : member.externalPeerAddress;
    try {
      const reply = await this.floor(address);
      return reply.node === member.node;
    } catch {
      return false;
    }
  }

  /** @throws peerUnavailable */
  async floor(address: string): Promise<distribution.FloorReply> {
    const request = { node: this.cfg.node, region: this.cfg.region };
    const options = { deadline: Date.now() + PROBE_TIMEOUT_MS };
    const { peers } = this.channels.get(address);
    return new Promise((resolve, reject) => {
      const done = (err: grpc.ServiceError | null, reply: distribution.FloorReply) => {
        if (err === null) resolve(reply);
        else {
          const detail = err.details;
          reject(failures.raise({ type: 'peerUnavailable', peer: address, detail }, err));
        }
      };
      peers.floor(request, new grpc.Metadata(), options, done);
    });
  }
}
