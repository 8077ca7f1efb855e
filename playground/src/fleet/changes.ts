/** Tickets of the experiments, and a model of the manifest that they must lead to. */

import { manifest, ticket as tickets } from '@godwittrack/core';
import type * as clients from '../harness/clients.js';

const ROUTES_PER_SERVICE = 10;

/** Files are numbered from 1; each ticket changes one service and one of its routes. */
export class ChangeSource {
  private model = manifest.Manifest.empty();

  private readonly digests = new Map<number, string>();

  private number = 0;

  constructor(private readonly services: readonly string[]) {}

  /** First ticket: all services with their routes. */
  first(): clients.TicketDocument {
    const resources = this.services.flatMap((service) => [
      { kind: 'service', name: service, spec: { queueLength: 24 } },
      ...[...Array(ROUTES_PER_SERVICE).keys()].map((n) => this.route(service, n, 1_000)),
    ]);
    return this.document(resources);
  }

  next(): clients.TicketDocument {
    const n = this.number;
    const service = this.services[n % this.services.length] ?? '';
    return this.document([
      { kind: 'service', name: service, spec: { queueLength: 24 + (n % 500) } },
      this.route(service, n % ROUTES_PER_SERVICE, 1_000 + n),
    ]);
  }

  /** Digest that a node must report when it applies a version; undefined for unknown versions. */
  digestOf(version: number): string | undefined {
    return this.digests.get(version);
  }

  private route(service: string, n: number, timeoutMs: number) {
    const match = { pathPrefix: `/${service}/${n}` };
    const spec = { service, match, semantics: 'idempotent', timeout: `${timeoutMs}ms` };
    return { kind: 'route', name: `${service}-${n}`, spec };
  }

  private document(resources: clients.TicketDocument['resources']): clients.TicketDocument {
    this.number += 1;
    const document = { ticket: this.number, author: 'bench', reason: 'measurement', resources };
    this.model = this.model.accept(tickets.Ticket.parse(document), 0).manifest;
    this.digests.set(this.model.version, this.model.digest());
    return document;
  }
}
