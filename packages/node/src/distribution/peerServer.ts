/** gRPC server for other nodes. */

import * as grpc from '@grpc/grpc-js';
import { failures } from '@godwittrack/core';
import { distribution, requests } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as forwardServer from '../requests/forwardServer.js';
import type * as settings from '../settings.js';
import type * as childServer from './childServer.js';
import type * as ticketForwarder from './ticketForwarder.js';

const SERVER_OPTIONS: grpc.ServerOptions = {
  'grpc.max_receive_message_length': constants.MAX_PEER_MESSAGE_BYTES,
  'grpc.max_send_message_length': constants.MAX_PEER_MESSAGE_BYTES,
  'grpc.max_concurrent_streams': 10_000,
};

export class PeerServer {
  private readonly server = new grpc.Server(SERVER_OPTIONS);

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
    this.server.addService(requests.RequestsService, {
      forward: (call) => {
        void forwards.serve(call);
      },
    } satisfies requests.RequestsServer);
  }

  /** Adds a service of another part before `listen`. */
  addService(service: grpc.ServiceDefinition, handlers: grpc.UntypedServiceImplementation): void {
    this.server.addService(service, handlers);
  }

  /** @throws internal when the address cannot be bound */
  async listen(): Promise<void> {
    const address = this.cfg.listen.peer;
    const credentials = grpc.ServerCredentials.createInsecure();
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(address, credentials, (err) => {
        if (err === null) resolve();
        else {
          const detail = `cannot listen on ${address}: ${err.message}`;
          reject(failures.raise({ type: 'internal', detail }, err));
        }
      });
    });
  }

  close(): void {
    this.server.forceShutdown();
  }
}
