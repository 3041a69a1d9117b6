import type { ModelJob } from "./model_job.ts";
import type { ModelLoad } from "./model_load.ts";

/** Time step of the bound, in ms; a job's window is widened to whole steps. */
const STEP_MS = 50;
/** Longest interval whose capacity is observed, in steps. */
const MAX_STEPS = 240;
/** Share of its credit that a late job earns. */
const LATE_CREDIT_SHARE = 0.2;
const MILLICORES = 1_000;

/**
 * Computes an upper bound of the share of the possible credit that any policy
 * can earn, even one that knows all arrivals and run times. It is that of a
 * relaxed problem: all endpoints are one, work is divisible and runs wherever
 * its data is, messages take no time, a part of a job earns that part of its
 * credit, and a job that is not in time earns the credit of a late one without
 * taking capacity. In this problem the work that is in time is feasible if
 * each interval has the capacity for the jobs that lie within it, so taking
 * jobs in the order of their credit per work is optimal.
 */
export function computeBound(load: ModelLoad, jobs: ModelJob[]): number {
  const endMs = Math.max(
    ...jobs.map(({ atMs, objectiveMs }) => atMs + objectiveMs),
  );
  const free = createFreeCapacity(load, Math.ceil(endMs / STEP_MS));
  const sorted = jobs.toSorted((one, other) =>
    other.credit / other.work - one.credit / one.work
  );
  let possible = 0;
  let inTime = 0;
  for (const job of sorted) {
    possible += job.credit;
    inTime += job.credit * takeCapacity(free, job) / job.work;
  }
  return LATE_CREDIT_SHARE + (1 - LATE_CREDIT_SHARE) * inTime / possible;
}

/** Computes the capacity of each interval in core-ms, by its first step and its number of steps less 1. */
function createFreeCapacity(load: ModelLoad, steps: number): Float64Array[] {
  const capacities = Array.from({ length: steps }, (_, step) => {
    const fromMs = step * STEP_MS;
    return load.endpoints.reduce((sum, { cpu, speed, ...endpoint }) => {
      const beganMs = Math.max(fromMs, endpoint.fromMs ?? 0);
      const endedMs = Math.min(fromMs + STEP_MS, endpoint.toMs ?? Infinity);
      return sum + Math.max(0, endedMs - beganMs) * speed * cpu / MILLICORES;
    }, 0);
  });
  return capacities.map((_, first) => {
    const intervals = new Float64Array(Math.min(MAX_STEPS, steps - first));
    let sum = 0;
    for (let index = 0; index < intervals.length; index += 1) {
      sum += capacities[first + index];
      intervals[index] = sum;
    }
    return intervals;
  });
}

/** Takes as much of the job's work as all intervals that contain the job's window have capacity for, and returns it in core-ms. */
function takeCapacity(free: Float64Array[], job: ModelJob): number {
  const first = Math.floor(job.atMs / STEP_MS);
  const last = Math.ceil((job.atMs + job.objectiveMs) / STEP_MS) - 1;
  const earliest = Math.max(0, last - MAX_STEPS + 1);
  let taken = job.work;
  for (let from = first; from >= earliest && taken > 0; from -= 1) {
    const intervals = free[from];
    for (let index = last - from; index < intervals.length; index += 1) {
      if (intervals[index] < taken) taken = intervals[index];
    }
  }
  if (taken <= 0) return 0;
  for (let from = first; from >= earliest; from -= 1) {
    const intervals = free[from];
    for (let index = last - from; index < intervals.length; index += 1) {
      intervals[index] -= taken;
    }
  }
  return taken;
}
