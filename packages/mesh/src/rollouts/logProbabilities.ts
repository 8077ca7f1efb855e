/** Sums of probabilities that are given as logarithms. */

export function logSumExp(logs: readonly number[]): number {
  const max = Math.max(...logs);
  return max + Math.log(logs.reduce((sum, log) => sum + Math.exp(log - max), 0));
}

export function logMeanExp(logs: readonly number[]): number {
  return logSumExp(logs) - Math.log(logs.length);
}
