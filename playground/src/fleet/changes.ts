/** Creates the tickets of the experiments and computes the manifest that must result from them. */

import { manifest, ticket as tickets } from '@godwittrack/core';
import type * as clients from '../harness/clients.js';

const ROUTES_PER_SERVICE = 10;

/** Tickets are numbered from 1; each after the first changes one service and one of its routes. */
export class ChangeSource {
  private expectedManifest = manifest.Manifest.empty();

  private readonly digests = new Map<number, string>();

  private lastTicket = 0;

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
    const n = this.lastTicket;
    const service = this.services[n % this.services.length] ?? '';
    return this.document([
      { kind: 'service', name: service, spec: { queueLength: 24 + (n % 500) } },
      this.route(service, n % ROUTES_PER_SERVICE, 1_000 + n),
    ]);
  }

  /** Digest that a node must report when it applies a version; undefined for unknown versions. */
  expectedDigest(version: number): string | undefined {
    return this.digests.get(version);
  }

  private route(service: string, n: number, timeoutMs: number) {
    const match = { pathPrefix: `/${service}/${n}` };
    const spec = { service, match, semantics: 'idempotent', timeout: `${timeoutMs}ms` };
    return { kind: 'route', name: `${service}-${n}`, spec };
  }

  private document(resources: clients.TicketDocument['resources']): clients.TicketDocument {
    this.lastTicket += 1;
    const document = { ticket: this.lastTicket, author: 'bench', reason: 'measurement', resources };
    this.expectedManifest = this.expectedManifest.accept(
      tickets.Ticket.parse(document),
      0,
    ).manifest;
    this.digests.set(this.expectedManifest.version, this.expectedManifest.digest());
    return document;
  }
}
