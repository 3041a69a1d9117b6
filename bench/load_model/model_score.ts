import type { ModelTally } from "./model_tally.ts";

/** Figures of a load under one policy; each is a mean over the seeds. */
export type ModelScore = {
  total: ModelTally;
  kinds: Record<string, ModelTally>;
  /** By kind and size class: the largest tenth of a kind by work, the fifth below it, the rest. */
  sizes: Record<string, ModelTally>;
  dataCentres: Record<string, ModelTally>;
  /** By time of arrival, in windows of 2 s. */
  windows: ModelTally[];
  /** By kind and time of arrival, in windows of 1 s. */
  seconds: Record<string, ModelTally[]>;
  /** Mean of the two lowest credit shares of the windows. */
  worstWindows: number;
  /** Upper bound of the share of the possible credit, whatever the policy. */
  boundShare: number;
  stoppedRuns: number;
  /** CPU time of the stopped runs, in core-seconds. */
  stoppedCoreSeconds: number;
  passedJobs: number;
};
