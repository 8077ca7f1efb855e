/** gRPC channels to other nodes: one for each address, shared by all services. */

import * as grpc from '@grpc/grpc-js';
import { distribution, records } from '@godwittrack/protocol';
import * as constants from '../constants.js';

const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.max_receive_message_length': constants.MAX_PEER_MESSAGE_BYTES,
  'grpc.max_send_message_length': constants.MAX_PEER_MESSAGE_BYTES,
  // Reconnects quickly, because the callers have their own backoff.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2_000,
  // Settings name peers by IP address, so there is no DNS service config to look up.
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_retries': 0,
  // Detects, while a call is open, a host that went away without closing its connections.
  'grpc.keepalive_time_ms': 10_000,
  'grpc.keepalive_timeout_ms': 10_000,
};

const CHANNEL_IDLE_MS = 120_000;

/** Clients of one peer. */
export interface PeerClients {
  distribution: distribution.DistributionClient;
  peers: distribution.PeersClient;
  records: records.RecordsClient;
}

interface CachedChannel {
  usedAtMs: number;
  channel: grpc.Channel;
  clients: PeerClients;
}

export class PeerChannels {
  private readonly channels = new Map<string, CachedChannel>();

  get(address: string): PeerClients {
    const held = this.channels.get(address);
    if (held !== undefined) {
      held.usedAtMs = performance.now();
      return held.clients;
    }
    this.closeIdle();
    const credentials = grpc.credentials.createInsecure();
    const channel = new grpc.Channel(address, credentials, CHANNEL_OPTIONS);
    const options = { channelOverride: channel };
    const clients = {
      distribution: new distribution.DistributionClient(address, credentials, options),
      peers: new distribution.PeersClient(address, credentials, options),
      records: new records.RecordsClient(address, credentials, options),
    };
    this.channels.set(address, { channel, clients, usedAtMs: performance.now() });
    return clients;
  }

  get size(): number {
    return this.channels.size;
  }

  /** Closes channels that are neither connected nor recently used, such as to replaced hosts. */
  closeIdle(idleMs = CHANNEL_IDLE_MS): void {
    const nowMs = performance.now();
    for (const [address, { channel, usedAtMs }] of this.channels) {
      const connected = channel.getConnectivityState(false) === grpc.connectivityState.READY;
      if (connected || nowMs - usedAtMs < idleMs) continue;
      channel.close();
      this.channels.delete(address);
    }
  }

  close(): void {
    for (const { channel } of this.channels.values()) channel.close();
    this.channels.clear();
  }
}
