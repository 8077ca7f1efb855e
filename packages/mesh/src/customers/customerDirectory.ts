/** Identifies the customer of a request by its key. Keys are kept as digests only. */

import * as crypto from 'node:crypto';
import { ids } from '@godwittrack/core';
import type * as configuration from '../config/configuration.js';

export type Identification =
  | {
      type: 'identified';
      /** Null for requests of public routes without a valid key, such as nested calls. */
      customer: configuration.Customer | null;
      /** Priority that precedes that of the route. */
      customerPriority: number;
    }
  | { type: 'unknownKey' };

export function digestOf(key: string): ids.KeyDigest {
  return ids.keyDigest(crypto.createHash('sha256').update(key).digest('base64'));
}

export class CustomerDirectory {
  private readonly byDigest = new Map<ids.KeyDigest, configuration.Customer>();

  /**
   * Priority of requests without a customer: that of the most urgent customers. They may be nested calls,
   * and the work of their parents is lost if they are refused.
   */
  private readonly anonymousPriority: number;

  constructor(customers: Record<string, configuration.Customer>) {
    const all = Object.values(customers);
    for (const customer of all) {
      for (const digest of customer.keyDigests) this.byDigest.set(digest, customer);
    }
    this.anonymousPriority = all.length === 0 ? 0 : Math.min(...all.map((each) => each.priority));
  }

  /** @param key null if the request carries none */
  identify({ isPublic }: configuration.Route, key: string | null): Identification {
    const customer = key === null ? undefined : this.byDigest.get(digestOf(key));
    if (customer !== undefined) {
      return { type: 'identified', customer, customerPriority: customer.priority };
    }
    if (!isPublic) return { type: 'unknownKey' };
    return { type: 'identified', customer: null, customerPriority: this.anonymousPriority };
  }
}

/** Directories by their table of customers, which stays the same over most changes of a configuration. */
const directories = new WeakMap<Record<string, configuration.Customer>, CustomerDirectory>();

/** @returns null if the configuration has no customers, so that requests need no key */
export function resolveDirectory({
  customers,
}: configuration.Configuration): CustomerDirectory | null {
  if (customers === null) return null;
  let directory = directories.get(customers);
  if (directory === undefined) {
    directory = new CustomerDirectory(customers);
    directories.set(customers, directory);
  }
  return directory;
}
