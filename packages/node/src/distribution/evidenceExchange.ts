/**
 * Evidence and vetoes in transit. Samples are cumulative for each source node, so that only the
 * latest of each series travels; vetoes only grow and travel in both directions.
 */

import type { distribution } from '@godwittrack/protocol';
import * as signals from '../signals.js';

interface Sequenced<T> {
  value: T;
  origin: string;
  sequence: number;
}

/** Series held at most; the oldest are dropped beyond it. */
const MAX_SAMPLES = 50_000;
const MAX_VETOES = 10_000;

function sampleKey(sample: distribution.EvidenceSample): string {
  return [sample.node, sample.rollout, sample.version, sample.route].join('\u0000');
}

function vetoKey(veto: distribution.Veto): string {
  return [veto.rollout, veto.version, veto.route].join('\u0000');
}

export class EvidenceExchange {
  private readonly samples = new Map<string, Sequenced<distribution.EvidenceSample>>();

  private readonly vetoes = new Map<string, Sequenced<distribution.Veto>>();

  private sequence = 0;

  /** Raised when there is something new to send. */
  readonly changed = new signals.ChangeSignal();

  /** Raised when a veto was added, with the new one in `latestVetoes`. */
  readonly vetoed = new signals.ChangeSignal();

  get allSamples(): distribution.EvidenceSample[] {
    return [...this.samples.values()].map((item) => item.value);
  }

  get allVetoes(): distribution.Veto[] {
    return [...this.vetoes.values()].map((item) => item.value);
  }

  addSample(sample: distribution.EvidenceSample, origin: string): boolean {
    const key = sampleKey(sample);
    const held = this.samples.get(key)?.value;
    const older =
      held !== undefined &&
      (sample.incarnation < held.incarnation ||
        (sample.incarnation === held.incarnation && sample.sequence <= held.sequence));
    if (older) return false;
    // Re-inserting keeps the map ordered by the last update, so the first entry is the oldest.
    this.samples.delete(key);
    this.samples.set(key, { value: sample, origin, sequence: this.nextSequence() });
    if (this.samples.size > MAX_SAMPLES) this.dropOldest(this.samples);
    this.changed.notify();
    return true;
  }

  addVeto(veto: distribution.Veto, origin: string): boolean {
    const key = vetoKey(veto);
    if (this.vetoes.has(key)) return false;
    this.vetoes.set(key, { value: veto, origin, sequence: this.nextSequence() });
    if (this.vetoes.size > MAX_VETOES) this.dropOldest(this.vetoes);
    this.vetoed.notify();
    this.changed.notify();
    return true;
  }

  samplesSince(sequence: number, receiver: string): distribution.EvidenceSample[] {
    return since(this.samples, sequence, receiver);
  }

  vetoesSince(sequence: number, receiver: string): distribution.Veto[] {
    return since(this.vetoes, sequence, receiver);
  }

  get currentSequence(): number {
    return this.sequence;
  }

  /** Forgets what belongs to rollouts that are no longer under way. */
  retainRollouts(isActive: (rollout: string) => boolean): void {
    for (const [key, item] of this.samples) {
      if (!isActive(item.value.rollout)) this.samples.delete(key);
    }
  }

  private dropOldest(map: Map<string, unknown>): void {
    const [oldest] = map.keys();
    if (oldest !== undefined) map.delete(oldest);
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }
}

function since<T>(map: Map<string, Sequenced<T>>, sequence: number, receiver: string): T[] {
  return [...map.values()]
    .filter((item) => item.sequence > sequence && item.origin !== receiver)
    .map((item) => item.value);
}
