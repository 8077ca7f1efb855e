/**
 * Wire format of messages between nodes: a length of four bytes, big endian, followed by a MessagePack array
 * that begins with a type code. Requests, outcomes and member records are encoded by field position to keep
 * frames small, since traffic between failure domains is billed by volume. Large configuration frames are
 * wrapped in a `deflated` frame, which holds the compressed array.
 */

import * as zlib from 'node:zlib';
import * as msgpack from '@msgpack/msgpack';
import { failures, httpStatus, ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';
import type * as evacuationTable from '../evacuations/evacuationTable.js';
import type * as members from '../membership/members.js';
import type * as memberGossip from '../membership/memberGossip.js';
import type * as crashRecords from '../quarantine/crashRecords.js';
import * as quotaMessages from '../quotas/quotaMessages.js';
import type * as phases from '../rollouts/phases.js';
import type * as evidence from '../rollouts/evidence.js';
import * as exchange from '../routing/exchange.js';
import * as evacuationCodec from './evacuationCodec.js';

export const MAX_FRAME_BYTES = 80 * 1024 * 1024;
/**
 * Larger frames are sent in pieces of at most this size, and smaller ones overtake them. A piece bounds what
 * a small frame waits for on a slow link.
 */
export const MAX_WHOLE_FRAME_BYTES = 16 * 1024;
export const LENGTH_BYTES = 4;
/** Configuration frames larger than this are compressed; smaller ones fit into a few packets anyway. */
const MIN_DEFLATED_BYTES = 4 * 1024;

/** Newest era of the store that the sender knows of; nodes of earlier releases send none. */
type KnownEra = ids.StoreEra | null;

/** What a node knows of the state that all nodes share. */
export interface SharedState {
  configVersion: number;
  rollouts: phases.RolloutState[];
  /** Whether `rollouts` is complete. */
  rolloutsKnown: boolean;
  storeEra?: KnownEra;
  /** Absent if the sender knows no set, or the deployment uses none. */
  evacuations?: evacuationTable.EvacuationSet;
  /** Not complete: reports that are new, or repeated ones. */
  crashes?: crashRecords.CrashReport[];
}

/** First frame on a connection. */
export interface Hello extends SharedState {
  type: 'hello';
  /** Member record of the sender. */
  from: members.Member;
  /** Intended receiver; the address may since have been reassigned to another node. */
  to: ids.NodeId;
}

export interface RequestFrame {
  type: 'request';
  id: number;
  /** Monotonic clock of the sender, in whole milliseconds. */
  sentMs: number;
  req: exchange.ForwardedRequest;
}

export type Frame =
  | Hello
  | RequestFrame
  | memberGossip.GossipMessage
  | quotaMessages.QuotaMessage
  /** A record of the receiver from before its restart, newer than its current one. */
  | { type: 'previousState'; member: members.Member }
  /** The connection was intended for `node`, whose address now belongs to the sender. */
  | { type: 'misdirected'; node: ids.NodeId }
  | { type: 'cancel'; id: number }
  | { type: 'outcome'; id: number; delivery: exchange.Delivery }
  /** The sender accepts no more requests; an outcome follows for those with the ids in `running`. */
  | { type: 'goAway'; running: number[] }
  | { type: 'ping' }
  | { type: 'pong' }
  | { type: 'configDelta'; delta: configuration.ConfigurationDelta }
  | { type: 'configFull'; cfg: configuration.Configuration }
  | { type: 'configRequest'; heldVersion: number }
  | { type: 'beacon'; configVersion: number; storeEra?: KnownEra }
  /** State of the sender; relays send it periodically so that lost updates are repaired. */
  | ({ type: 'stateSummary' } & SharedState)
  /** Sent by a node that does not know the rollouts yet. */
  | { type: 'stateSummaryRequest' }
  | { type: 'rollouts'; states: phases.RolloutState[] }
  | { type: 'evidence'; report: evidence.EvidenceReport }
  | { type: 'evacuations'; set: evacuationTable.EvacuationSet }
  /** Part of a large frame; the frame is complete with the `last` piece of its transfer. */
  | { type: 'piece'; transfer: number; last: boolean; bytes: Buffer }
  /** Number of bytes in pieces that have arrived since the previous acknowledgement. */
  | { type: 'pieceAck'; bytes: number }
  /** No more pieces of a transfer will follow; those that have arrived are void. */
  | { type: 'dropTransfer'; transfer: number };

/** A frame type is encoded as its index in this list, so the order must not change. */
const FRAME_TYPES: readonly (Frame['type'] | 'deflated')[] = [
  'hello',
  'request',
  'members',
  'previousState',
  'cancel',
  'outcome',
  'ping',
  'pong',
  'configDelta',
  'configFull',
  'configRequest',
  'beacon',
  'rollouts',
  'evidence',
  'goAway',
  'digests',
  'membersRequest',
  'membersRemoved',
  'stateSummary',
  'stateSummaryRequest',
  'misdirected',
  'piece',
  'pieceAck',
  'dropTransfer',
  'deflated',
  'evacuations',
  'quotaRequest',
  'quotaGrant',
  'quotaVote',
];
/** Frame types that may be wrapped in a `deflated` frame. */
const DEFLATED_TYPES: ReadonlySet<string | undefined> = new Set(['configFull', 'configDelta']);

/** Shared, since each new encoder allocates a buffer. */
const encoder = new msgpack.Encoder({ ignoreUndefined: true });
const decoder = new msgpack.Decoder();

/**
 * Encoded frames of full configurations, which are immutable. Many nodes request the same one at the start of
 * a fleet.
 */
const encodedConfigurations = new WeakMap<configuration.Configuration, Buffer>();

/** The result may be shared with other callers and must not be modified. */
export function encode(frame: Frame): Buffer {
  if (frame.type !== 'configFull') return encodeAnew(frame);
  let encoded = encodedConfigurations.get(frame.cfg);
  if (encoded === undefined) {
    encoded = encodeAnew(frame);
    encodedConfigurations.set(frame.cfg, encoded);
  }
  return encoded;
}

function encodeAnew(frame: Frame): Buffer {
  const message = encoder.encodeSharedRef(pack(frame));
  const isDeflated = DEFLATED_TYPES.has(frame.type) && message.length >= MIN_DEFLATED_BYTES;
  if (!isDeflated) return addLength(message);
  const code = FRAME_TYPES.indexOf('deflated');
  return addLength(encoder.encodeSharedRef([code, zlib.deflateSync(message)]));
}

function addLength(message: Uint8Array): Buffer {
  const framed = Buffer.allocUnsafe(LENGTH_BYTES + message.length);
  framed.writeUInt32BE(message.length, 0);
  framed.set(message, LENGTH_BYTES);
  return framed;
}

/** The part of an encoded frame that `decode` reads. */
export function withoutLength(encoded: Buffer): Buffer {
  return encoded.subarray(LENGTH_BYTES);
}

function pack(frame: Frame): unknown[] {
  const code = FRAME_TYPES.indexOf(frame.type);
  if (quotaMessages.isQuotaMessage(frame)) return [code, ...quotaMessages.pack(frame)];
  switch (frame.type) {
    case 'request':
      return [code, frame.id, frame.sentMs, ...packRequest(frame.req)];
    case 'outcome':
      return [code, frame.id, ...packDelivery(frame.delivery)];
    case 'members':
      return [code, frame.members.map(packMember)];
    case 'piece':
      return [code, frame.transfer, frame.last, frame.bytes];
    case 'pieceAck':
      return [code, frame.bytes];
    case 'dropTransfer':
      return [code, frame.transfer];
    case 'rollouts':
      return [code, { states: frame.states.map(packRollout) }];
    case 'hello':
    case 'stateSummary': {
      const { type, crashes, evacuations, ...fields } = frame;
      const rollouts = frame.rollouts.map(packRollout);
      return [
        code,
        {
          ...fields,
          rollouts,
          crashes: crashes?.map(packCrashReport),
          evacuations: evacuations && evacuationCodec.pack(evacuations),
        },
      ];
    }
    case 'evacuations':
      return [code, evacuationCodec.pack(frame.set)];
    default: {
      const { type, ...fields } = frame;
      return [code, fields];
    }
  }
}

/** @throws protocolViolation */
export function decode(message: Uint8Array, peer: string): Frame {
  try {
    return unpack(decoder.decode(message));
  } catch (err) {
    throw failures.toError({ type: 'protocolViolation', peer, detail: String(err) });
  }
}

function unpackPiece(transfer: unknown, [last, bytes]: unknown[]): Frame {
  if (typeof last !== 'boolean' || !(bytes instanceof Uint8Array)) throw new Error('bad piece');
  return { type: 'piece', transfer: toCount(transfer), last, bytes: toBuffer(bytes) };
}

function toCount(value: unknown): number {
  if (!Number.isSafeInteger(value) || (value as number) <= 0) throw new Error('bad count');
  return value as number;
}

function unpack(fields: unknown): Frame {
  const [code, first, ...rest] = fields as [number, unknown, ...unknown[]];
  const type = FRAME_TYPES[code];
  if (type === 'request') {
    const [sentMs, ...others] = rest;
    return { type, id: first as number, sentMs: sentMs as number, req: unpackRequest(others) };
  }
  if (type === 'members') return { type, members: (first as unknown[][]).map(unpackMember) };
  if (type === 'outcome') return { type, id: first as number, delivery: unpackDelivery(rest) };
  if (type === 'deflated') return unpackDeflated(first as Uint8Array);
  if (type === 'piece') return unpackPiece(first, rest);
  if (type === 'pieceAck') return { type, bytes: toCount(first) };
  if (type === 'dropTransfer') return { type, transfer: toCount(first) };
  if (type === 'evacuations') return { type, set: evacuationCodec.unpack(first) };
  if (type === undefined) throw new Error(`type code ${code}`);
  if (quotaMessages.isQuotaType(type)) return quotaMessages.unpack(type, [first, ...rest]);
  const frame = { type, ...(first as object) } as Frame;
  if (frame.type === 'rollouts') return { ...frame, states: unpackRollouts(frame.states) };
  if (frame.type === 'hello' || frame.type === 'stateSummary') {
    const { crashes, evacuations } = frame;
    return {
      ...frame,
      rollouts: unpackRollouts(frame.rollouts),
      ...(crashes && { crashes: (crashes as unknown[]).map(unpackCrashReport) }),
      ...(evacuations && { evacuations: evacuationCodec.unpack(evacuations) }),
    };
  }
  return frame;
}

function unpackDeflated(deflated: Uint8Array): Frame {
  const message = zlib.inflateSync(deflated, { maxOutputLength: MAX_FRAME_BYTES });
  const fields = decoder.decode(message) as [number, ...unknown[]];
  const type = FRAME_TYPES[fields[0]];
  if (!DEFLATED_TYPES.has(type)) throw new Error(`a deflated frame of type ${type}`);
  return unpack(fields);
}

function packMember(member: members.Member): unknown[] {
  const { node, address, domain, region, sequence, upstream } = member;
  if (upstream === null) return [node, address, domain, region, sequence];
  const { instance, service, version, slots, bornMs, leaving, accepting, limitPerSecond } =
    upstream;
  const state = [instance, service, version, slots, bornMs, leaving, accepting, limitPerSecond];
  return [node, address, domain, region, sequence, ...state];
}

function unpackMember(fields: unknown[]): members.Member {
  const [node, address, domain, region, sequence, ...state] = fields;
  const [instance, service, version, slots, bornMs, leaving, accepting, limitPerSecond] = state;
  const upstream =
    state.length === 0
      ? null
      : {
          instance,
          service,
          version,
          slots,
          bornMs,
          leaving,
          accepting,
          limitPerSecond: limitPerSecond ?? null,
        };
  return { node, address, domain, region, sequence, upstream } as members.Member;
}

/** Nodes of earlier releases know one revision of an order only, and send neither era nor age. */
type PackedRollout = Omit<
  phases.RolloutState,
  'orderPosition' | 'orderedAt' | 'unproved' | 'onTrial' | 'ageMs'
> & {
  onTrial?: boolean;
  unproved?: readonly ids.VersionName[];
  orderRevision: number;
  orderEra?: ids.StoreEra;
  orderedAt?: [era: ids.StoreEra, revision: number];
  ageMs?: number;
};

function packRollout({ orderPosition, orderedAt, ...state }: phases.RolloutState): PackedRollout {
  return {
    ...state,
    orderRevision: orderPosition.revision,
    orderEra: orderPosition.era,
    orderedAt: [orderedAt.era, orderedAt.revision],
  };
}

function unpackRollouts(states: unknown): phases.RolloutState[] {
  return (states as PackedRollout[]).map(unpackRollout);
}

function unpackRollout(packed: PackedRollout): phases.RolloutState {
  const { orderRevision, orderEra = ids.storeEra(0), orderedAt, ageMs = 0, ...state } = packed;
  const { unproved = [], onTrial = false } = state;
  if (!Number.isFinite(ageMs)) throw new Error('bad age');
  const orderPosition = { era: orderEra, revision: orderRevision };
  const [era, revision] = orderedAt ?? [orderEra, orderRevision];
  const position = { orderPosition, orderedAt: { era, revision } };
  return { ...state, ...position, unproved, onTrial, ageMs: Math.max(0, ageMs) };
}

function packCrashReport({ fingerprint, ends }: crashRecords.CrashReport): unknown[] {
  return [fingerprint, ends.map(packEnd)];
}

function packEnd({ end, ageMs, wasSuspect, isVoid }: crashRecords.EndReport): unknown[] {
  return [end, ageMs, wasSuspect, isVoid];
}

function unpackCrashReport(packed: unknown): crashRecords.CrashReport {
  const [fingerprint, ends] = packed as [unknown, unknown[][]];
  return { fingerprint: ids.requestFingerprint(toText(fingerprint)), ends: ends.map(unpackEnd) };
}

function unpackEnd([end, ageMs, wasSuspect, isVoid]: unknown[]): crashRecords.EndReport {
  if (!Number.isFinite(ageMs)) throw new Error('bad age');
  return {
    end: ids.upstreamEndId(toText(end)),
    ageMs: ageMs as number,
    wasSuspect: toFlag(wasSuspect),
    isVoid: toFlag(isVoid),
  };
}

function toFlag(value: unknown): boolean {
  if (typeof value !== 'boolean') throw new Error('bad flag');
  return value;
}

function toText(value: unknown): string {
  if (typeof value !== 'string') throw new Error('bad text');
  return value;
}

function packRequest(req: exchange.ForwardedRequest): unknown[] {
  return [
    req.requestId,
    req.method,
    req.target,
    req.headers,
    req.body.length === 0 ? null : req.body,
    req.route,
    req.semantics === 'repeatable' ? 1 : 0,
    req.priority,
    req.callerService,
    req.instance,
    Math.round(req.targetLeftMs),
    Math.round(req.deadlineLeftMs),
    Math.round(req.estimateMs),
    Number.isFinite(req.maxWaitMs) ? Math.round(req.maxWaitMs) : null,
    ...packOptional(req),
  ];
}

/** Trailing fields that most requests do without. */
function packOptional({
  crashReport: report,
  customer,
  customerPriority,
}: exchange.ForwardedRequest): unknown[] {
  const packedReport = report === null ? null : packCrashReport(report);
  if (customer !== null || customerPriority !== 0) {
    return [packedReport, customer, customerPriority];
  }
  return packedReport === null ? [] : [packedReport];
}

function unpackRequest(fields: unknown[]): exchange.ForwardedRequest {
  const [requestId, method, target, headers, body, route, repeatable, priority] = fields;
  const [callerService, instance, targetLeftMs, deadlineLeftMs, estimateMs, maxWaitMs] =
    fields.slice(8);
  const [report, customer, customerPriority] = fields.slice(14);
  return {
    requestId,
    method,
    target,
    headers,
    body: toBuffer(body),
    route,
    semantics: repeatable === 1 ? 'repeatable' : 'once',
    priority,
    callerService,
    instance,
    targetLeftMs,
    deadlineLeftMs,
    estimateMs,
    maxWaitMs: maxWaitMs ?? Infinity,
    crashReport: report == null ? null : unpackCrashReport(report),
    customer: customer ?? null,
    customerPriority: customerPriority ?? 0,
    fromOtherHost: true,
    isConfined: false,
  } as exchange.ForwardedRequest;
}

const ANSWER = 0;
const REFUSED = 1;
const LOST = 2;

function packDelivery({ outcome, report }: exchange.Delivery): unknown[] {
  const load = report === null ? null : packReport(report);
  switch (outcome.type) {
    case 'answer': {
      const { status, headers, body, serviceMs } = outcome;
      const answer = [status, headers, body.length === 0 ? null : body, Math.round(serviceMs)];
      return [ANSWER, load, ...answer];
    }
    case 'refused': {
      const { reason, retryAfterMs, reachedUpstream } = outcome;
      return [REFUSED, load, reason, Math.round(retryAfterMs), reachedUpstream];
    }
    default:
      return outcome.end === undefined
        ? [LOST, load, outcome.detail]
        : [LOST, load, outcome.detail, outcome.end.id, outcome.end.wasSuspect];
  }
}

function unpackDelivery([kind, load, ...rest]: unknown[]): exchange.Delivery {
  const report = unpackReport(load as PackedReport | null);
  if (kind === ANSWER) {
    const [status, headers, body, serviceMs] = rest;
    if (!httpStatus.isFinal(status)) {
      return { outcome: exchange.lost('answer without a valid status'), report };
    }
    const answer = { type: 'answer', status, headers, body: toBuffer(body), serviceMs };
    return { outcome: answer as exchange.Answer, report };
  }
  if (kind === REFUSED) {
    const [reason, retryAfterMs, reachedUpstream] = rest as [string, number, boolean];
    return { outcome: { type: 'refused', reason, retryAfterMs, reachedUpstream }, report };
  }
  const [detail, id, wasSuspect] = rest;
  if (id === undefined) return { outcome: exchange.lost(String(detail)), report };
  const end = { id: ids.upstreamEndId(toText(id)), wasSuspect: toFlag(wasSuspect) };
  return { outcome: exchange.lost(String(detail), end), report };
}

/** Load, average service time or -1, and the wait for the uplink unless there is none. */
type PackedReport = [number, number, number?];

function packReport(report: exchange.LoadReport): PackedReport {
  const averageServiceMs = Math.round(report.averageServiceMs ?? -1);
  const transferWaitMs = Math.round(report.transferWaitMs);
  if (transferWaitMs === 0) return [report.load, averageServiceMs];
  return [report.load, averageServiceMs, transferWaitMs];
}

function unpackReport(packed: PackedReport | null): exchange.LoadReport | null {
  if (packed === null) return null;
  const [load, averageServiceMs, transferWaitMs = 0] = packed;
  return {
    load,
    averageServiceMs: averageServiceMs < 0 ? null : averageServiceMs,
    transferWaitMs,
  };
}

function toBuffer(bytes: unknown): Buffer {
  if (!(bytes instanceof Uint8Array)) return Buffer.alloc(0);
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
