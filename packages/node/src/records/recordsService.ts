/** gRPC handlers of the `Records` service, backed by this node's store. */

import type { records } from '@godwittrack/protocol';
import type * as recordStore from './recordStore.js';

/** Maximum estimated size of one message of a copy; gRPC's default limit is 4 MiB. */
const MAX_COPY_MESSAGE_BYTES = 512 * 1024;

/** Estimated size of a record without its body. */
const RECORD_OVERHEAD_BYTES = 256;

export function createRecordsService(store: recordStore.RecordStore): records.RecordsServer {
  return {
    claim: (call, callback) => callback(null, store.claim(call.request)),
    complete: (call, callback) => callback(null, store.complete(call.request)),
    release: (call, callback) => callback(null, store.release(call.request)),
    recover: (call) => {
      void sendCopy(call, store.createCopy(call.request));
    },
  };
}

async function sendCopy(
  call: Parameters<records.RecordsServer['recover']>[0],
  copy: records.RecoverReply,
): Promise<void> {
  for (const part of splitCopy(copy)) {
    if (call.cancelled) return;
    if (!call.write(part)) {
      await new Promise<void>((resolve) => {
        const onWritable = () => {
          call.off('drain', onWritable);
          call.off('cancelled', onWritable);
          resolve();
        };
        call.once('drain', onWritable);
        call.once('cancelled', onWritable);
      });
    }
  }
  call.end();
}

/** Splits a copy into messages below the size limit; only the last one has `end` set. */
export function splitCopy(copy: records.RecoverReply): records.RecoverReply[] {
  const parts: records.KeyRecord[][] = [[]];
  let bytes = 0;
  for (const record of copy.records) {
    const size = RECORD_OVERHEAD_BYTES + (record.answer?.body.length ?? 0);
    if (bytes > 0 && bytes + size > MAX_COPY_MESSAGE_BYTES) {
      parts.push([]);
      bytes = 0;
    }
    parts.at(-1)!.push(record);
    bytes += size;
  }
  return parts.map((part, i) => ({ ...copy, records: part, end: i === parts.length - 1 }));
}
