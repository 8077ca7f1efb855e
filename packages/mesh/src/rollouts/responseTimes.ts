/** Response times as counts in classes of constant ratio, so that a slowdown by a factor shifts all classes. */

/** Classes for each doubling of the time. */
const CLASSES_PER_DOUBLING = 4;
/** Upper bound of the first class, in ms. */
const MIN_MS = 0.5;
/** The last class holds all times above 22 s. */
export const CLASS_COUNT = 62;

/** Number of responses in each class; trailing classes without responses may be missing. */
export type TimeCounts = number[];

export function classOf(ms: number): number {
  if (!(ms > MIN_MS)) return 0;
  return Math.min(CLASS_COUNT - 1, Math.round(classesOf(ms / MIN_MS)));
}

/** Number of classes that a factor shifts a time by; not rounded. */
export function classesOf(factor: number): number {
  return CLASSES_PER_DOUBLING * Math.log2(factor);
}

export function record(counts: TimeCounts, ms: number): void {
  const index = classOf(ms);
  while (counts.length <= index) counts.push(0);
  counts[index]! += 1;
}

export function add(counts: TimeCounts, added: TimeCounts): void {
  while (counts.length < added.length) counts.push(0);
  added.forEach((count, index) => {
    counts[index]! += count;
  });
}

export function total(counts: TimeCounts): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Time that a share of the responses stays below, in ms, within the width of a class; null without responses. */
export function quantileMs(counts: TimeCounts, share: number): number | null {
  const rank = share * total(counts);
  let sum = 0;
  const index = counts.findIndex((count) => {
    sum += count;
    return count > 0 && sum >= rank;
  });
  return index < 0 ? null : Math.round(MIN_MS * 2 ** (index / CLASSES_PER_DOUBLING));
}

/** Mean class; 0 without responses. */
export function meanClass(counts: TimeCounts): number {
  const sum = counts.reduce((acc, count, index) => acc + count * index, 0);
  return sum / Math.max(1, total(counts));
}
