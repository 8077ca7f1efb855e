/** Validates the path of a request: the router and the upstream must interpret it the same way. */

import type { failures } from '@godwittrack/core';

/** `.`, `..` and their encoded forms; `%5c` and a backslash count as a slash in some parsers. */
const DOT_SEGMENT = /(^|[/\\]|%2f|%5c)(\.|%2e){1,2}([/\\;]|%2f|%5c|$)/i;

/** Null when the path is valid. Of the query, only a fragment behind it is checked. */
export function problemOf(target: string): failures.Problem | null {
  const query = target.search(/[?#]/);
  const path = query < 0 ? target : target.slice(0, query);
  if (!path.startsWith('/')) return problem('must start with /');
  if (path.startsWith('//')) return problem('must not start with //');
  if (target.includes('#')) return problem('must not hold a fragment');
  // An upstream that resolves `/proof/../order` would run a `once` request as a repeatable one.
  return DOT_SEGMENT.test(path) ? problem('must not hold the segments . or ..') : null;
}

function problem(message: string): failures.Problem {
  return { path: 'path', message };
}
