/** Base class of the experiments that `godwittrack-bench` runs. */

export interface ExperimentOptions {
  /** Seeds every random choice of the experiment. */
  seed: number;
  /** Runs smaller sizes, for a quick check; its results must not be published. */
  quick: boolean;
  /** Further settings as `name=value`. */
  settings: ReadonlyMap<string, string>;
  /** Prints a progress line to standard error. */
  report: (line: string) => void;
}

/** Result of an experiment: one flat JSON object. */
export type ExperimentResult = Record<string, number | string | boolean | null>;

export abstract class Experiment {
  abstract readonly name: string;

  abstract readonly description: string;

  abstract run(options: ExperimentOptions): Promise<ExperimentResult>;
}
