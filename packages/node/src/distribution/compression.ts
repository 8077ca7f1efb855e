/** Compression of large messages between regions. */

import * as zlib from 'node:zlib';
import { failures } from '@godwittrack/core';
import { distribution } from '@godwittrack/protocol';
import * as constants from '../constants.js';

/** Below this size the gzip header costs more than compression saves. */
const MIN_COMPRESSED_BYTES = 200;

interface Codec<M> {
  encode(message: M): { finish(): Uint8Array };
  decode(bytes: Uint8Array): M;
}

interface Compressible {
  message?: { $case: string; value: unknown } | undefined;
}

function compress<M extends Compressible>(codec: Codec<M>, message: M): Buffer | null {
  const plain = codec.encode(message).finish();
  if (plain.length < MIN_COMPRESSED_BYTES) return null;
  const gzip = zlib.gzipSync(plain);
  return gzip.length < plain.length ? gzip : null;
}

/** @throws protocolViolation for data that is damaged or too large */
function decompress<M extends Compressible>(codec: Codec<M>, gzip: Uint8Array, peer: string): M {
  try {
    const maxOutputLength = constants.MAX_PEER_MESSAGE_BYTES;
    return codec.decode(zlib.gunzipSync(gzip, { maxOutputLength }));
  } catch (err) {
    const detail = 'a compressed message cannot be decompressed or decoded';
    throw failures.toError({ type: 'protocolViolation', peer, detail }, err);
  }
}

export function compressParentMessage(
  message: distribution.ParentMessage,
): distribution.ParentMessage {
  const gzip = compress(distribution.ParentMessage, message);
  return gzip === null ? message : { message: { $case: 'compressed', value: { gzip } } };
}

export function decompressParentMessage(
  message: distribution.ParentMessage,
  peer: string,
): distribution.ParentMessage {
  if (message.message?.$case !== 'compressed') return message;
  return decompress(distribution.ParentMessage, message.message.value.gzip, peer);
}

export function compressChildMessage(
  message: distribution.ChildMessage,
): distribution.ChildMessage {
  const gzip = compress(distribution.ChildMessage, message);
  return gzip === null ? message : { message: { $case: 'compressed', value: { gzip } } };
}

export function decompressChildMessage(
  message: distribution.ChildMessage,
  peer: string,
): distribution.ChildMessage {
  if (message.message?.$case !== 'compressed') return message;
  return decompress(distribution.ChildMessage, message.message.value.gzip, peer);
}
