/** Text output of tickets. */

import * as yaml from 'yaml';
import type * as responses from './responses.js';
import * as table from './table.js';

export function renderTicketList(list: responses.TicketList, options: table.TableOptions): string {
  const rows = list.tickets.map((ticket) => [
    ticket.ticket,
    ticket.version,
    table.formatTime(ticket.atMs),
    ticket.author,
    ticket.resources.join(','),
    ticket.reason,
  ]);
  const header = ['TICKET', 'VERSION', 'ACCEPTED', 'AUTHOR', 'RESOURCES', 'REASON'];
  return table.formatTable(header, rows, options);
}

export function renderTicket(ticket: responses.TicketDetail): string {
  const head = table.formatFields([
    ['ticket', ticket.ticket],
    ['version', ticket.version],
    ['accepted', table.formatTime(ticket.atMs)],
    ['author', ticket.author],
    ['reason', ticket.reason],
  ]);
  const changes = ticket.changes.map((change) => {
    const state = change.current ? 'current' : 'replaced by a later ticket';
    const title = `${table.cleanText(change.resource)} (${state})`;
    if (change.spec === null) return `${title}\n  deleted`;
    return `${title}\n${table.formatBlock(yaml.stringify(change.spec))}`;
  });
  return [head, ...changes].join('\n\n');
}

export function renderCheckedTicket(
  checked: responses.CheckedTicket,
  options: table.TableOptions,
): string {
  const rows = checked.changes.map((change) => [change.resource, change.action]);
  const summary = `Ticket ${checked.ticket} is valid; it would become version ${checked.wouldBeVersion}.`;
  return `${summary}\n${table.formatTable(['RESOURCE', 'ACTION'], rows, options)}`;
}

export function renderFiledTicket(filed: responses.FiledTicket): string {
  const how = filed.repeated ? 'had been accepted before' : 'is accepted';
  const at = table.formatTime(filed.atMs);
  return `Ticket ${filed.ticket} ${how} as version ${filed.version} at ${at}.`;
}
