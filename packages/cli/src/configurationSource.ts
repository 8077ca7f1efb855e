/** Reads configuration files up to a size limit, so that a wrong file does not fill the memory. */

import * as fs from 'node:fs';
import type { Readable } from 'node:stream';
import { UsageError } from 'clipanion';

/**
 * Reads a file, or standard input for `-`.
 * @returns at most one chunk more than `limitBytes`; the check refuses longer files
 * @throws UsageError when it cannot be read
 */
export async function readBytes(
  file: string,
  stdin: Readable,
  limitBytes: number,
): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    const stream: AsyncIterable<Buffer | string> = file === '-' ? stdin : fs.createReadStream(file);
    for await (const chunk of stream) {
      const bytes = Buffer.from(chunk);
      chunks.push(bytes);
      length += bytes.length;
      if (length > limitBytes) break;
    }
  } catch (err) {
    const detail = err instanceof Error ? err.message : String(err);
    throw new UsageError(`FILE: ${file} cannot be read: ${detail}`);
  }
  return Buffer.concat(chunks);
}
