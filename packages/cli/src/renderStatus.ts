/** Text output of the system status. */

import type * as responses from './responses.js';
import * as table from './table.js';

export function renderStatus(status: responses.Status, options: table.TableOptions): string {
  const { platform, members } = status;
  const age = platform.ageMs === null ? 'never' : `${platform.ageMs} ms ago`;
  const head = table.formatFields([
    ['summary', status.summary],
    ['version', status.configVersion],
    ['node', `${status.node} (${status.region}, ${status.failureDomain})`],
    ['platform', `${platform.reachable ? 'reachable' : 'not reachable'}, last contact ${age}`],
    ['path', status.path.join(' > ')],
    ['nodes', `${members.known} known, ${members.ready} ready, ${members.atVersion} at version`],
  ]);
  if (status.services.length === 0) return head;
  const rows = status.services.map((service) => [
    service.service,
    service.stable,
    service.target,
    service.phase,
    service.sharePct,
    service.deadline,
    service.summary,
  ]);
  const header = ['SERVICE', 'STABLE', 'TARGET', 'PHASE', 'SHARE %', 'DEADLINE', 'SUMMARY'];
  return `${head}\n\n${table.formatTable(header, rows, options)}`;
}
