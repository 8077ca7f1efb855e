/** Messages between nodes about quotas, and their encoding by field position. */

import type { ids } from '@godwittrack/core';

export interface Ask {
  customer: ids.CustomerName;
  wanted: number;
}

/** Permits that are given back to the owner that granted them. */
export interface ReturnedPermits {
  customer: ids.CustomerName;
  count: number;
  /** Id of the request that they were granted for. */
  requestId: number;
}

export interface QuotaRequest {
  type: 'quotaRequest';
  /** Unique within one run of the sender. */
  id: number;
  asks: Ask[];
  returned: ReturnedPermits[];
}

export interface Grant {
  customer: ids.CustomerName;
  granted: number;
  /** Time until more permits are available; 0 if all were granted. */
  retryAfterMs: number;
  /** Whether the sender holds votes for the customer; if not, it grants nothing. */
  isOwner: boolean;
  /** Which node the sender takes for the owner, if it isn't one itself; null if it knows none. */
  owner: ids.NodeId | null;
}

export interface QuotaGrant {
  type: 'quotaGrant';
  /** Id of the request that is answered. */
  id: number;
  grants: Grant[];
}

/** From which seats, and without which of them, a seat chooses the owner of each customer. */
export interface View {
  /** Identifies the seats; see `SeatSet`. */
  digest: number;
  excluded: ids.NodeId[];
}

export interface QuotaVote {
  type: 'quotaVote';
  /** Start of the sender's process; its stamps are comparable within one run only. */
  run: number;
  /** Monotonic clock of the sender. */
  stampMs: number;
  /** Newest stamp of the receiver that the sender has seen; run 0 if none. */
  echoRun: number;
  echoMs: number;
  /** A vote counts only if all views agree on the owner; empty if the sender has no vote. */
  views: View[];
  /** The sender stops, so that it is no owner any more. */
  isLeaving: boolean;
}

export type QuotaMessage = QuotaRequest | QuotaGrant | QuotaVote;

const TYPES: ReadonlySet<string> = new Set(['quotaRequest', 'quotaGrant', 'quotaVote']);

export function isQuotaType(type: string): type is QuotaMessage['type'] {
  return TYPES.has(type);
}

export function isQuotaMessage(message: { type: string }): message is QuotaMessage {
  return isQuotaType(message.type);
}

/** Fields of a frame after its type code. */
export function pack(message: QuotaMessage): unknown[] {
  switch (message.type) {
    case 'quotaRequest': {
      const returned = message.returned.map((each) => [each.customer, each.count, each.requestId]);
      const asks = message.asks.map(({ customer, wanted }) => [customer, wanted]);
      return returned.length === 0 ? [message.id, asks] : [message.id, asks, returned];
    }
    case 'quotaGrant':
      return [message.id, message.grants.map(packGrant)];
    default: {
      const { run, stampMs, echoRun, echoMs, isLeaving } = message;
      const views = message.views.map(({ digest, excluded }) => [digest, excluded]);
      return [run, stampMs, echoRun, echoMs, views, isLeaving];
    }
  }
}

/** @throws Error if a field has the wrong type */
export function unpack(type: QuotaMessage['type'], fields: unknown[]): QuotaMessage {
  switch (type) {
    case 'quotaRequest': {
      const [id, asks, returned = []] = fields;
      return {
        type,
        id: toNumber(id),
        asks: toList(asks).map(unpackAsk),
        returned: toList(returned).map(unpackReturned),
      };
    }
    case 'quotaGrant':
      return { type, id: toNumber(fields[0]), grants: toList(fields[1]).map(unpackGrant) };
    default: {
      const [run, stampMs, echoRun, echoMs, views, isLeaving] = fields;
      return {
        type,
        run: toNumber(run),
        stampMs: toNumber(stampMs),
        echoRun: toNumber(echoRun),
        echoMs: toNumber(echoMs),
        views: toList(views).map(unpackView),
        isLeaving: isLeaving === true,
      };
    }
  }
}

function packGrant({ customer, granted, retryAfterMs, isOwner, owner }: Grant): unknown[] {
  if (!isOwner) return [customer, granted, Math.ceil(retryAfterMs), owner];
  return retryAfterMs === 0 ? [customer, granted] : [customer, granted, Math.ceil(retryAfterMs)];
}

function unpackGrant(packed: unknown): Grant {
  const fields = toList(packed);
  const [customer, granted, retryAfterMs = 0, owner] = fields;
  const isOwner = fields.length < 4;
  return {
    customer: toText(customer) as ids.CustomerName,
    granted: toAmount(granted),
    retryAfterMs: toAmount(retryAfterMs),
    isOwner,
    owner: owner == null ? null : (toText(owner) as ids.NodeId),
  };
}

function unpackAsk(packed: unknown): Ask {
  const [customer, wanted] = toList(packed);
  return { customer: toText(customer) as ids.CustomerName, wanted: toAmount(wanted) };
}

function unpackReturned(packed: unknown): ReturnedPermits {
  const [customer, count, requestId] = toList(packed);
  return {
    customer: toText(customer) as ids.CustomerName,
    count: toAmount(count),
    requestId: toNumber(requestId),
  };
}

function unpackView(packed: unknown): View {
  const [digest, excluded] = toList(packed);
  return { digest: toNumber(digest), excluded: toList(excluded).map(toText) as ids.NodeId[] };
}

function toList(value: unknown): unknown[] {
  if (!Array.isArray(value)) throw new Error('bad list');
  return value;
}

function toNumber(value: unknown): number {
  if (!Number.isFinite(value)) throw new Error('bad number');
  return value as number;
}

function toAmount(value: unknown): number {
  if (!Number.isSafeInteger(value) || (value as number) < 0) throw new Error('bad amount');
  return value as number;
}

function toText(value: unknown): string {
  if (typeof value !== 'string') throw new Error('bad text');
  return value;
}
