import { classifyLateRun } from "../placement/classify_late_run.ts";
import type { LateRunCause } from "../placement/late_run_cause.ts";
import type { RunPace } from "../placement/run_pace.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { ScheduledTask } from "./scheduled_task.ts";

/** By this time after its confirmed start a run is listed, unless its endpoint does not answer, in ms. */
const FIRST_LISTING_MS = 300;

/** Finds why a run takes longer than expected, from the paces of the other runs of its job and at its endpoint. */
export function findLateRunCause(
  endpoint: EndpointRecord,
  run: { task: ScheduledTask; nowMs: number },
): LateRunCause {
  const { task, nowMs } = run;
  if (!task.pace) return "unknown";
  const siblings = task.job.tasks.filter((other) =>
    other !== task && other.step === task.step &&
    other.endpointId !== endpoint.row.id
  );
  const neighbours = [...endpoint.runs.values()].filter((other) =>
    other.job !== task.job && hasPaceSince(other, task)
  );
  return classifyLateRun({ ...task.pace, progress: task.progress }, {
    siblingScales: collectScales(siblings, ({ scale }) => scale),
    hasUnlistedSiblings: siblings.some((sibling) =>
      sibling.phase === "running" && !sibling.pace &&
      nowMs - sibling.startConfirmedMs < FIRST_LISTING_MS
    ),
    neighbourScales: collectScales(
      neighbours,
      (pace, { job }) =>
        Math.max(pace.scale, pace.recentScale) * job.predictedMs /
        job.criticalPathMs,
    ),
  });
}

/** Whether the pace of another run at the same endpoint is from the time since the task's run started. */
function hasPaceSince(
  other: ScheduledTask,
  task: ScheduledTask,
): boolean {
  const measuredClockMs = other.startedClockMs +
    (other.pace?.anchor.elapsedMs ?? 0);
  return measuredClockMs >= task.startedClockMs;
}

/** Collects the known scales of the tasks' runs. */
function collectScales(
  tasks: ScheduledTask[],
  read: (pace: RunPace, task: ScheduledTask) => number,
): number[] {
  const scales: number[] = [];
  for (const task of tasks) {
    if (task.pace?.isReliable) scales.push(read(task.pace, task));
  }
  return scales;
}
