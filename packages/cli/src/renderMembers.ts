/** Text output of nodes and upstreams. */

import type * as responses from './responses.js';
import * as table from './table.js';

export function renderNodeList(list: responses.NodeList, options: table.TableOptions): string {
  const rows = list.nodes.map((node) => [
    node.node,
    node.region,
    node.failureDomain,
    node.parent === '' ? '-' : node.parent,
    node.ready,
    node.draining,
    node.incarnation,
  ]);
  const header = ['NODE', 'REGION', 'FAILURE DOMAIN', 'PARENT', 'READY', 'DRAINING', 'INCARNATION'];
  return table.formatTable(header, rows, options);
}

export function renderUpstreamList(
  list: responses.UpstreamList,
  options: table.TableOptions,
): string {
  const rows = list.upstreams.map((upstream) => [
    upstream.service,
    upstream.version,
    upstream.node,
    upstream.region,
    upstream.failureDomain,
    upstream.slots,
    upstream.healthy,
    upstream.draining,
  ]);
  const header = [
    'SERVICE',
    'VERSION',
    'NODE',
    'REGION',
    'FAILURE DOMAIN',
    'SLOTS',
    'HEALTHY',
    'DRAINING',
  ];
  return table.formatTable(header, rows, options);
}
