/** Server for other nodes: gRPC and forwarded requests on one address. */

import * as grpc from '@grpc/grpc-js';
import { failures } from '@godwittrack/core';
import { distribution, records } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as forwardServer from '../requests/forwardServer.js';
import * as peerListener from '../requests/peerListener.js';
import * as settings from '../settings.js';
import type * as childServer from './childServer.js';
import type * as ticketForwarder from './ticketForwarder.js';

const SERVER_OPTIONS: grpc.ServerOptions = {
  'grpc.max_receive_message_length': constants.MAX_PEER_MESSAGE_BYTES,
  'grpc.max_send_message_length': constants.MAX_PEER_MESSAGE_BYTES,
};

export class PeerServer {
  private readonly server = new grpc.Server(SERVER_OPTIONS);

  private readonly port: peerListener.PeerListener;

  constructor(
    private readonly cfg: settings.ResolvedSettings,
    children: childServer.ChildServer,
    forwards: forwardServer.ForwardServer,
    files: ticketForwarder.TicketFileServer,
  ) {
    this.server.addService(distribution.DistributionService, {
      sync: (call) => {
        void children.serve(call);
      },
    } satisfies distribution.DistributionServer);
    this.server.addService(distribution.PeersService, {
      floor: (call, callback) => callback(null, children.floor(call.request.members)),
      file: (call, callback) => {
        void files.serve(call.request).then((reply) => callback(null, reply));
      },
    } satisfies distribution.PeersServer);
    const injector = this.server.createConnectionInjector(grpc.ServerCredentials.createInsecure());
    this.port = new peerListener.PeerListener({
      grpc: (socket) => injector.injectConnection(socket),
      forward: (socket) => forwards.accept(socket),
    });
  }

  /** Adds the service of idempotency records; call it before `listen`. */
  addRecords(handlers: records.RecordsServer): void {
    this.server.addService(records.RecordsService, handlers);
  }

  /** @throws internal when the address cannot be bound */
  async listen(): Promise<void> {
    const address = this.cfg.listen.peer;
    const { host, port } = settings.splitAddress(address);
    try {
      await this.port.listen(host, port);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      const detail = `cannot listen on ${address}: ${reason}`;
      throw failures.toError({ type: 'internal', detail }, err);
    }
  }

  close(): void {
    this.port.close();
    this.server.forceShutdown();
  }
}
