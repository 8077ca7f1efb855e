/** Text output of the audit trail. */

import type * as responses from './responses.js';
import * as table from './table.js';

export function renderAudit(audit: responses.Audit, options: table.TableOptions): string {
  const rows = audit.entries.map((entry) => [
    table.formatTime(entry.atMs),
    entry.actor,
    entry.action,
    entry.ticket,
    entry.version,
    entry.outcome,
    entry.resources?.join(','),
    entry.detail,
  ]);
  const header = ['TIME', 'ACTOR', 'ACTION', 'TICKET', 'VERSION', 'OUTCOME', 'RESOURCES', 'DETAIL'];
  return table.formatTable(header, rows, options);
}
