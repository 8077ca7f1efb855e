/** Transport of record calls between dispatchers, holders and recovering members. */

import type { placement as placements } from '@godwittrack/core';
import type { records } from '@godwittrack/protocol';

/** Calls to the holder `member`; every method throws `peerUnavailable` or `timeout` on failure. */
export abstract class RecordPeers {
  abstract claim(
    member: placements.Member,
    req: records.ClaimRequest,
    timeoutMs: number,
  ): Promise<records.ClaimReply>;

  abstract complete(
    member: placements.Member,
    req: records.CompleteRequest,
    timeoutMs: number,
  ): Promise<records.CompleteReply>;

  abstract release(
    member: placements.Member,
    req: records.ReleaseRequest,
    timeoutMs: number,
  ): Promise<records.ReleaseReply>;

  /** Returns the complete copy; an interrupted one is a failure. */
  abstract recover(
    member: placements.Member,
    req: records.RecoverRequest,
    timeoutMs: number,
  ): Promise<records.RecoverReply>;
}
