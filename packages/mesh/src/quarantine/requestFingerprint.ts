/**
 * Fingerprints of requests. Requests that differ only in their ids, deadlines and other headers have the
 * same one. It consists of a key, which is cheap to compute, and a hash of the body.
 */

import * as crypto from 'node:crypto';
import { ids } from '@godwittrack/core';
import type * as exchange from '../routing/exchange.js';
import * as headerCodec from '../upstream/headerCodec.js';

export type IdentifiedRequest = Pick<
  exchange.ForwardedRequest,
  'method' | 'target' | 'headers' | 'body' | 'callerService'
>;

/** Characters of a hash in base64url, 6 bits each. */
const HASH_LENGTH = 14;

function hash(content: string | Buffer): string {
  return crypto.createHash('sha256').update(content).digest('base64url').slice(0, HASH_LENGTH);
}

/** Keys computed so far; while there are suspects, a node looks up each request several times. */
const keys = new WeakMap<IdentifiedRequest, string>();

/** Key of all requests that differ only in the content of their bodies. The request must not change. */
export function keyOf(req: IdentifiedRequest): string {
  let key = keys.get(req);
  if (key === undefined) {
    const { method, target, headers, body, callerService } = req;
    const host = headerCodec.headerValue(headers, 'host')?.toLowerCase() ?? '';
    key = hash(JSON.stringify([method, host, target, callerService, body.length]));
    keys.set(req, key);
  }
  return key;
}

export function fingerprintOf(req: IdentifiedRequest): ids.RequestFingerprint {
  const key = keyOf(req);
  return ids.requestFingerprint(req.body.length === 0 ? key : `${key}.${hash(req.body)}`);
}

export function keyIn(fingerprint: ids.RequestFingerprint): string {
  return fingerprint.slice(0, HASH_LENGTH);
}
