import type { Quantiles } from "./quantiles.ts";

/** Results of one run of a scenario; docs/MEASURES.md defines each figure. */
export type RunRecord = {
  scenario: string;
  /** Routing policy, `default` for that of the scenario, or `naive` for the naive version. */
  way: string;
  seed: number;
  shards: number;
  entries: number;
  /** Response time of tasks relative to their run time at an endpoint of slowness 1. */
  taskRatio: Quantiles;
  /** The task ratio of tasks with a run time below 300 ms. */
  shortTaskRatio: Quantiles;
  /** Response time of jobs relative to the run time of their longest task. */
  jobRatio: Quantiles;
  /** Response time of jobs minus the run time of their longest task, in ms. */
  jobOverheadMs: Quantiles;
  /** Mean duration of an append to the shard log, in ms; every claim waits for one. */
  claimMs: number;
  /** The job ratio of the client `guild`, without the flooding client. */
  guildJobRatio: Quantiles;
  /** Time from the latest sending of a job to its refusal, in ms. */
  refusalMs: Quantiles;
  jobs: {
    sent: number;
    complete: number;
    failed: number;
    refused: number;
    broken: number;
  };
  /** Number of jobs by kind of failure or refusal. */
  kinds: Record<string, number>;
  /** Work of complete jobs done while jobs arrived, relative to the capacity of the endpoints in that time. */
  goodput: number;
  /** Messages to and from endpoints because of refusals and cancellations, per task start. */
  extraMessages: number;
  extra: { refusals: number; failures: number; cancels: number };
  /** Maximum number of connections to one endpoint. */
  mostConnections: number;
  /** Maximum over the endpoints of the tasks running at once minus the slots. */
  mostRunningOverSlots: number;
  /** Calls to the platform per complete job. */
  platform: { transactions: number; objectWrites: number; scans: number };
  platformPerSecond: {
    transactions: number;
    objectWrites: number;
    scans: number;
  };
  /** Task starts per second of CPU time of the entries. */
  startsPerCoreSecond: number;
  /** Task starts per second of the run. */
  startsPerSecond: number;
  /** Mean number of cores that all entries together used. */
  entryCores: number;
  /** Mean number of cores that the busiest entry used. */
  busiestEntryCores: number;
  controlCores: number;
  /** Resident memory of the entry that uses the most. */
  entryRssMb: number;
  controlRssMb: number;
};
