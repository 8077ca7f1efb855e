/** Outcome of a comparison of a new version with the old one. */

/** `doubtful` is a version with evidence against it that does not suffice for a verdict. */
export type ComparisonResult =
  { type: 'passed' } | { type: 'doubtful'; reason: string } | { type: 'bad'; reason: string };

export const PASSED: ComparisonResult = { type: 'passed' };
