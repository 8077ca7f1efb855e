/** HTTP status codes (RFC 9110, section 15). */

const FIRST_FINAL = 200;
const LAST_FINAL = 599;

/** Whether a status can be that of a final answer; others, such as 000, must not reach a caller. */
export function isFinal(status: unknown): status is number {
  return Number.isInteger(status) && Number(status) >= FIRST_FINAL && Number(status) <= LAST_FINAL;
}
