/** Local copies of versioned JSON documents (rollouts, placements) stored in the platform. */

import * as signals from '../signals.js';

export interface VersionedDocument {
  name: string;
  /** Object version in the platform; a higher one is newer. */
  revision: number;
  json: string;
}

interface HeldDocument extends VersionedDocument {
  /** Local order of changes, see `changesSince`. */
  sequence: number;
}

export class DocumentTable {
  private readonly documents = new Map<string, HeldDocument>();

  private sequence = 0;

  readonly changed = new signals.ChangeSignal();

  get all(): VersionedDocument[] {
    return [...this.documents.values()];
  }

  /** Stores a document unless the same or a newer revision is held; returns whether it did. */
  merge(document: VersionedDocument): boolean {
    const held = this.documents.get(document.name);
    if (held !== undefined && held.revision >= document.revision) return false;
    this.sequence += 1;
    this.documents.set(document.name, { ...document, sequence: this.sequence });
    this.changed.notify();
    return true;
  }

  remove(name: string): void {
    if (this.documents.delete(name)) this.changed.notify();
  }

  /** Documents that changed after `sequence`. */
  changesSince(sequence: number): { documents: VersionedDocument[]; sequence: number } {
    const documents = [...this.documents.values()].filter((item) => item.sequence > sequence);
    return { documents, sequence: this.sequence };
  }
}
