/**
 * Forwards a filed ticket to the node that watches the platform. That node has the manifest cached,
 * so accepting the ticket there saves a read, avoids conflicts with other writers and crosses the
 * inter-region link only once.
 */

import * as grpc from '@grpc/grpc-js';
import { failures, ticket as tickets } from '@godwittrack/core';
import type { distribution } from '@godwittrack/protocol';
import * as ticketService from '../config/ticketService.js';
import type * as contacts from '../membership/contacts.js';
import type * as settings from '../settings.js';
import type * as peerChannels from './peerChannels.js';
import type * as peerProbe from './peerProbe.js';
import type * as platformLink from './platformLink.js';

const FILE_TIMEOUT_MS = 2_000;

export class PeerTicketForwarder extends ticketService.TicketForwarder {
  constructor(
    private readonly cfg: settings.ResolvedSettings,
    private readonly link: platformLink.PlatformLink,
    private readonly peerContacts: contacts.Contacts,
    private readonly channels: peerChannels.PeerChannels,
    private readonly probe: peerProbe.PeerProbe,
  ) {
    super();
  }

  override async forward(ticket: tickets.Ticket): Promise<ticketService.FiledTicket | null> {
    const { path } = this.link;
    const watcher = path[path.length - 1];
    if (watcher === undefined || watcher === this.cfg.node) return null;
    const regions = new Set([this.cfg.homeRegion, this.cfg.region]);
    const member = [...regions]
      .flatMap((region) => this.peerContacts.knownNodes(region))
      .find(({ node }) => node === watcher);
    if (member === undefined) return null;
    const reply = await this.sendTicket(this.probe.addressOf(member), ticket);
    if (reply?.result === undefined) return null;
    if (reply.result.$case === 'failure') {
      throw failures.toError(JSON.parse(reply.result.value) as failures.Failure);
    }
    const { version, repeatedTicket: repeated, atMs } = reply.result.value;
    return { ticket: ticket.number, version, repeated, atMs };
  }

  /** Returns null when the other node does not answer. */
  private sendTicket(
    address: string,
    ticket: tickets.Ticket,
  ): Promise<distribution.FileReply | null> {
    const { peers } = this.channels.get(address);
    const request = { ticket: JSON.stringify(ticket) };
    const options = { deadline: Date.now() + FILE_TIMEOUT_MS };
    return new Promise((resolve) => {
      const done = (err: grpc.ServiceError | null, reply: distribution.FileReply) =>
        resolve(err === null ? reply : null);
      peers.file(request, new grpc.Metadata(), options, done);
    });
  }
}

/** Handler of `Peers.File`. */
export class TicketFileServer {
  constructor(private readonly service: ticketService.TicketService) {}

  async serve(request: distribution.FileRequest): Promise<distribution.FileReply> {
    try {
      const ticket = tickets.Ticket.parse(JSON.parse(request.ticket));
      const { version, repeated, atMs } = await this.service.fileLocally(ticket);
      return {
        result: { $case: 'filed', value: { version, repeatedTicket: repeated, atMs } },
      };
    } catch (err) {
      return { result: { $case: 'failure', value: JSON.stringify(failures.fromError(err)) } };
    }
  }
}
