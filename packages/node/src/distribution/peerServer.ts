/** gRPC server for other nodes. */

import * as grpc from '@grpc/grpc-js';
import { failures } from '@godwittrack/core';
import { distribution, records, requests } from '@godwittrack/protocol';
import * as constants from '../constants.js';
import type * as forwardServer from '../requests/forwardServer.js';
import type * as settings from '../settings.js';
import type * as childServer from './childServer.js';

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
  ) {
    this.server.addService(distribution.DistributionService, {
      sync: (call) => {
        void children.serve(call);
      },
    } satisfies distribution.DistributionServer);
    this.server.addService(distribution.PeersService, {
      floor: (_call, callback) => callback(null, children.floor()),
    } satisfies distribution.PeersServer);
    this.server.addService(requests.RequestsService, {
      forward: (call) => {
        void forwards.serve(call);
      },
    } satisfies requests.RequestsServer);
  }

  /** Adds the service of idempotency records; call it before `listen`. */
  addRecords(handlers: records.RecordsServer): void {
    this.server.addService(records.RecordsService, handlers);
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
