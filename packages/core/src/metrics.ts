/** Counters, gauges and latency histograms, served in the text exposition format. */

import * as perf from 'node:perf_hooks';

export type Labels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;
const MICROS_PER_MS = 1_000;
const HIGHEST_MICROS = 120_000_000;

interface Series<T> {
  labels: Labels;
  value: T;
}

type Family<T> = Map<string, Series<T>>;

function labelKey(labels: Labels): string {
  return JSON.stringify(Object.entries(labels).sort());
}

function escapeLabel(value: string): string {
  return value.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n');
}

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}="${escapeLabel(value)}"`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function seriesOf<T>(
  families: Map<string, Family<T>>,
  name: string,
  labels: Labels,
  create: () => T,
): Series<T> {
  let family = families.get(name);
  if (family === undefined) {
    family = new Map();
    families.set(name, family);
  }
  const key = labelKey(labels);
  let series = family.get(key);
  if (series === undefined) {
    series = { labels, value: create() };
    family.set(key, series);
  }
  return series;
}

/** Registry of all metrics of one node. Names follow `godwittrack_<what>_<unit>`. */
export class Metrics {
  private readonly counters = new Map<string, Family<number>>();

  private readonly gauges = new Map<string, () => number>();

  private readonly helpTexts = new Map<string, string>();

  private readonly histograms = new Map<string, Family<perf.RecordableHistogram>>();

  /** Sets HELP texts by metric name: what the metric counts, and its unit. */
  describe(texts: Readonly<Record<string, string>>): void {
    for (const [name, text] of Object.entries(texts)) this.helpTexts.set(name, text);
  }

  increment(name: string, labels: Labels = {}, by = 1): void {
    seriesOf(this.counters, name, labels, () => 0).value += by;
  }

  counter(name: string, labels: Labels = {}): number {
    return this.counters.get(name)?.get(labelKey(labels))?.value ?? 0;
  }

  /** Registers a function that reads the value whenever metrics are rendered. */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Records a duration in milliseconds. */
  observeMs(name: string, ms: number, labels: Labels = {}): void {
    // Node's own histogram needs no loading; hdr-histogram-js would add 60 ms to each start.
    const create = () => perf.createHistogram({ lowest: 1, highest: HIGHEST_MICROS, figures: 2 });
    const micros = Math.min(HIGHEST_MICROS, Math.max(1, Math.round(ms * MICROS_PER_MS)));
    seriesOf(this.histograms, name, labels, create).value.record(micros);
  }

  /** Renders all metrics in the text exposition format. */
  render(): string {
    const lines: string[] = [];
    for (const [name, family] of this.counters) {
      lines.push(...this.headerLines(name, 'counter'));
      for (const { labels, value } of family.values()) {
        lines.push(`${name}${formatLabels(labels)} ${value}`);
      }
    }
    for (const [name, read] of this.gauges) {
      lines.push(...this.headerLines(name, 'gauge'), `${name} ${read()}`);
    }
    for (const [name, family] of this.histograms) {
      lines.push(...this.headerLines(name, 'summary'));
      for (const { labels, value } of family.values()) {
        lines.push(...renderSummary(name, labels, value));
      }
    }
    return `${lines.join('\n')}\n`;
  }

  private headerLines(name: string, type: 'counter' | 'gauge' | 'summary'): string[] {
    const help = this.helpTexts.get(name);
    return [...(help === undefined ? [] : [`# HELP ${name} ${help}`]), `# TYPE ${name} ${type}`];
  }
}

function renderSummary(
  name: string,
  labels: Labels,
  histogram: perf.RecordableHistogram,
): string[] {
  const lines = QUANTILES.map((quantile) => {
    const seconds = histogram.percentile(quantile * 100) / MICROS_PER_MS / 1_000;
    return `${name}${formatLabels({ ...labels, quantile: String(quantile) })} ${seconds}`;
  });
  const sumSeconds = (histogram.mean * histogram.count) / MICROS_PER_MS / 1_000;
  lines.push(`${name}_sum${formatLabels(labels)} ${Number.isFinite(sumSeconds) ? sumSeconds : 0}`);
  lines.push(`${name}_count${formatLabels(labels)} ${histogram.count}`);
  return lines;
}
