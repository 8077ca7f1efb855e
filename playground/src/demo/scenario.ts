/** Demo scenarios, one for each example deployment of docs/design.md, section 1.2. */

import * as harness from '../harness/index.js';
import type * as behaviours from '../upstream/behaviour.js';

export interface Scenario {
  layout: harness.layouts.Layout;
  /** Service whose versions are rolled out. */
  service: string;
  pathPrefix: string;
  balance: 'timely' | 'even' | 'careful';
  /** How the bad version fails. */
  fault: { description: string; change: behaviours.BehaviourChange };
}

const SERVERS_PER_SERVICE = 2;

export const SCENARIOS: readonly Scenario[] = [
  {
    layout: harness.layouts.resize(harness.layouts.FRASERLINE, SERVERS_PER_SERVICE),
    service: 'storefront',
    pathPrefix: '/proofs',
    balance: 'timely',
    fault: {
      description: 'fails every request',
      change: { rules: [{ errorRate: 1 }] },
    },
  },
  {
    layout: harness.layouts.resize(harness.layouts.FUNDACION, SERVERS_PER_SERVICE),
    service: 'sponsor-desk',
    pathPrefix: '/benches',
    balance: 'careful',
    fault: {
      description: 'answers 400 ms late',
      change: { rules: [{ addedLatencyMs: 400 }] },
    },
  },
];

/** First ticket of a scenario: its services, one route and the stable version. */
export function createFirstTicket(scenario: Scenario): harness.clients.TicketDocument {
  const { layout, pathPrefix, service } = scenario;
  return {
    ticket: 1,
    author: 'demo',
    reason: 'first configuration',
    resources: [
      ...layout.services.map(({ name }) => ({ kind: 'service', name, spec: {} })),
      {
        kind: 'route',
        name: `${service}-pages`,
        spec: { service, match: { pathPrefix }, semantics: 'safe' },
      },
      { kind: 'versionPlan', name: service, spec: { stable: 'v1' } },
    ],
  };
}

/** Ticket that rolls the service out to another version. */
export function createRolloutTicket(
  scenario: Scenario,
  ticket: number,
  versions: { stable: string; target: string },
  deadlineMs: number,
): harness.clients.TicketDocument {
  const deadline = new Date(deadlineMs).toISOString();
  const spec = { ...versions, deadline, soak: '1s', balance: scenario.balance };
  return {
    ticket,
    author: 'demo',
    reason: `move to ${versions.target}`,
    resources: [{ kind: 'versionPlan', name: scenario.service, spec }],
  };
}
