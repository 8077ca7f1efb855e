/** Transport of record calls over gRPC; calls to this node itself go directly to its store. */

import { failures, type placement as placements } from '@godwittrack/core';
import { records } from '@godwittrack/protocol';
import * as grpc from '@grpc/grpc-js';
import * as peers from './recordPeers.js';
import type * as recordStore from './recordStore.js';

/** Returns the shared client of a holder, or null when its address is unknown. */
export type ClientLookup = (holder: placements.Member) => records.RecordsClient | null;

type UnaryMethod<Req, Res> = (
  req: Req,
  metadata: grpc.Metadata,
  options: Partial<grpc.CallOptions>,
  callback: (err: grpc.ServiceError | null, res: Res) => void,
) => grpc.ClientUnaryCall;

export class GrpcRecordPeers extends peers.RecordPeers {
  constructor(
    private readonly store: recordStore.RecordStore,
    private readonly clientOf: ClientLookup,
  ) {
    super();
  }

  override async claim(member: placements.Member, req: records.ClaimRequest, timeoutMs: number) {
    if (member.node === this.store.node) return this.store.claim(req);
    const client = this.requireClient(member);
    return callUnary<records.ClaimRequest, records.ClaimReply>(
      member,
      client.claim.bind(client),
      req,
      timeoutMs,
    );
  }

  override async complete(
    member: placements.Member,
    req: records.CompleteRequest,
    timeoutMs: number,
  ) {
    if (member.node === this.store.node) return this.store.complete(req);
    const client = this.requireClient(member);
    return callUnary<records.CompleteRequest, records.CompleteReply>(
      member,
      client.complete.bind(client),
      req,
      timeoutMs,
    );
  }

  override async release(
    member: placements.Member,
    req: records.ReleaseRequest,
    timeoutMs: number,
  ) {
    if (member.node === this.store.node) return this.store.release(req);
    const client = this.requireClient(member);
    return callUnary<records.ReleaseRequest, records.ReleaseReply>(
      member,
      client.release.bind(client),
      req,
      timeoutMs,
    );
  }

  override async recover(
    member: placements.Member,
    req: records.RecoverRequest,
    timeoutMs: number,
  ): Promise<records.RecoverReply> {
    const received: records.KeyRecord[] = [];
    const call = this.requireClient(member).recover(req, { deadline: Date.now() + timeoutMs });
    try {
      for await (const message of call as AsyncIterable<records.RecoverReply>) {
        received.push(...message.records);
        if (message.end) return { ...message, records: received };
      }
    } catch (err) {
      throw toFailure(member, err, timeoutMs);
    } finally {
      call.cancel();
    }
    const detail = 'The stream ended before the last message of the copy.';
    throw failures.toError({ type: 'peerUnavailable', peer: member.node, detail });
  }

  private requireClient(member: placements.Member): records.RecordsClient {
    const client = this.clientOf(member);
    if (client !== null) return client;
    const detail = 'The address is unknown.';
    throw failures.toError({ type: 'peerUnavailable', peer: member.node, detail });
  }
}

function callUnary<Req, Res>(
  member: placements.Member,
  method: UnaryMethod<Req, Res>,
  req: Req,
  timeoutMs: number,
): Promise<Res> {
  return new Promise((resolve, reject) => {
    const options = { deadline: Date.now() + timeoutMs };
    method(req, new grpc.Metadata(), options, (err, res) => {
      if (err === null) resolve(res);
      else reject(toFailure(member, err, timeoutMs));
    });
  });
}

function toFailure(member: placements.Member, err: unknown, timeoutMs: number) {
  const { code, details } = err as Partial<grpc.ServiceError>;
  if (code === grpc.status.DEADLINE_EXCEEDED) {
    return failures.toError({ type: 'timeout', operation: `records at ${member.node}`, timeoutMs });
  }
  const detail = details ?? failures.fromError(err).type;
  return failures.toError({ type: 'peerUnavailable', peer: member.node, detail }, err);
}
