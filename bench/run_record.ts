import type { Quantiles } from "./quantiles.ts";

/** The record of one run; see docs/MEASURES.md for what each figure means. */
export type RunRecord = {
  scenario: string;
  way: string;
  seed: number;
  shards: number;
  entries: number;
  /** Task response over ideal. */
  taskRatio: Quantiles;
  /** Task response over ideal of tasks under 300 ms. */
  shortTaskRatio: Quantiles;
  /** Job response over ideal. */
  jobRatio: Quantiles;
  /** Job response less its longest task, in ms. */
  jobOverheadMs: Quantiles;
  /** Mean time of an append to the log, which every claim waits for, in ms. */
  claimMs: number;
  /** Job response over ideal of the first client alone. */
  guildJobRatio: Quantiles;
  /** Time to a refusal, in ms. */
  refusalMs: Quantiles;
  jobs: {
    sent: number;
    complete: number;
    failed: number;
    refused: number;
    broken: number;
  };
  /** How many jobs ended with each kind of failure. */
  kinds: Record<string, number>;
  /** Work of complete jobs done while jobs arrived, over what the endpoints could have done then. */
  goodput: number;
  /** Messages to endpoints beyond one out and one back a task, per task. */
  extraMessages: number;
  extra: { refusals: number; failures: number; cancels: number };
  mostConnections: number;
  mostRunningOverSlots: number;
  /** Per complete job. */
  platform: { transactions: number; objectWrites: number; scans: number };
  platformPerSecond: {
    transactions: number;
    objectWrites: number;
    scans: number;
  };
  /** Starts a second over the cores that the entries used. */
  startsPerCoreSecond: number;
  startsPerSecond: number;
  entryCores: number;
  busiestEntryCores: number;
  controlCores: number;
  entryRssMb: number;
  controlRssMb: number;
};
