/** Responses that this node gives by itself, without an upstream. */

/** Retry delay stated while the process is about to exit. */
const STOPPING_RETRY_MS = 50;

export interface LocalReply {
  type: 'localReply';
  status: number;
  message: string;
  retryAfterMs?: number;
}

export function createReply(status: number, message: string, retryAfterMs?: number): LocalReply {
  return { type: 'localReply', status, message, retryAfterMs };
}

export function createStoppingReply(): LocalReply {
  return createReply(503, 'this node stops', STOPPING_RETRY_MS);
}
