/** Compression of large messages that cross the link between regions. */

import * as zlib from 'node:zlib';
import { failures } from '@godwittrack/core';
import { distribution } from '@godwittrack/protocol';
import * as constants from '../constants.js';

/** Below this size the gzip header outweighs what is saved. */
const MIN_COMPRESSED_BYTES = 200;

interface Codec<M> {
  encode(message: M): { finish(): Uint8Array };
  decode(bytes: Uint8Array): M;
}

interface Compressible {
  message?: { $case: string; value: unknown } | undefined;
}

function pack<M extends Compressible>(codec: Codec<M>, message: M): Buffer | null {
  const plain = codec.encode(message).finish();
  if (plain.length < MIN_COMPRESSED_BYTES) return null;
  const gzip = zlib.gzipSync(plain);
  return gzip.length < plain.length ? gzip : null;
}

/** @throws protocolViolation for data that is damaged or too large */
function unpack<M extends Compressible>(codec: Codec<M>, gzip: Uint8Array, peer: string): M {
  try {
    const maxOutputLength = constants.MAX_PEER_MESSAGE_BYTES;
    return codec.decode(zlib.gunzipSync(gzip, { maxOutputLength }));
  } catch (err) {
    const detail = 'a compressed message could not be read';
    throw failures.toError({ type: 'protocolViolation', peer, detail }, err);
  }
}

export function packParent(message: distribution.ParentMessage): distribution.ParentMessage {
  const gzip = pack(distribution.ParentMessage, message);
  return gzip === null ? message : { message: { $case: 'compressed', value: { gzip } } };
}

export function unpackParent(
  message: distribution.ParentMessage,
  peer: string,
): distribution.ParentMessage {
  if (message.message?.$case !== 'compressed') return message;
  return unpack(distribution.ParentMessage, message.message.value.gzip, peer);
}

export function packChild(message: distribution.ChildMessage): distribution.ChildMessage {
  const gzip = pack(distribution.ChildMessage, message);
  return gzip === null ? message : { message: { $case: 'compressed', value: { gzip } } };
}

export function unpackChild(
  message: distribution.ChildMessage,
  peer: string,
): distribution.ChildMessage {
  if (message.message?.$case !== 'compressed') return message;
  return unpack(distribution.ChildMessage, message.message.value.gzip, peer);
}
