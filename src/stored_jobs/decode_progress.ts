import type { JobOrder } from "../scheduler/job_order.ts";
import { countTasks } from "../scheduler/count_tasks.ts";
import type { StoredProgress } from "../scheduler/stored_progress.ts";
import { UNKNOWN_RUN } from "../scheduler/unknown_run.ts";
import { decodeFlags } from "./decode_flags.ts";
import type { JobProgressRow } from "./job_progress_row.ts";

type Run = { task: number; run: number };

/** Decodes the progress of a job that an earlier scheduler stored. Fields that are missing, as in rows of earlier versions, or malformed count as empty. */
export function decodeProgress(
  row: JobProgressRow,
  order: JobOrder,
): StoredProgress {
  const taskCount = countTasks(order.steps);
  const levels = readList(row.doubtfulStarts);
  return {
    done: decodeFlags(row.done, taskCount),
    failedRuns: decodeRuns(row.failedRuns, taskCount),
    lostRuns: decodeLostRuns(row.lostRuns),
    isUnstarted: row.isUnstarted === true,
    doubtfulRuns: addUnknownRuns(
      decodeRuns(row.doubtfulRuns, taskCount),
      levels.flatMap((level) => listFlagged(level, taskCount)),
    ),
  };
}

function readList<Item>(value: Item[] | undefined): Item[] {
  return Array.isArray(value) ? value : [];
}

/** Lists the positions of the tasks whose flag is set. */
function listFlagged(flags: unknown, taskCount: number): number[] {
  return decodeFlags(flags, taskCount)
    .flatMap((isSet, task) => isSet ? [task] : []);
}

function decodeRuns(
  entries: [number, string][] | undefined,
  taskCount: number,
): Run[] {
  return readList(entries).filter(Array.isArray).flatMap(([run, flags]) =>
    listFlagged(flags, taskCount).map((task) => ({ task, run }))
  );
}

/** Adds a run of unknown number for each doubtful start beyond those whose number is known. `counted` has the position of a task as often as the task has doubtful starts. */
function addUnknownRuns(known: Run[], counted: number[]): Run[] {
  const rest = new Map<number, number>();
  for (const task of counted) rest.set(task, (rest.get(task) ?? 0) + 1);
  for (const { task } of known) rest.set(task, (rest.get(task) ?? 0) - 1);
  const unknown = [...rest].flatMap(([task, count]) =>
    Array.from(
      { length: Math.max(0, count) },
      () => ({ task, run: UNKNOWN_RUN }),
    )
  );
  return [...unknown, ...known];
}

function decodeLostRuns(entries: JobProgressRow["lostRuns"]) {
  return readList(entries).filter(Array.isArray).flatMap((
    [
      endpointId,
      processStartMs,
      hasCrashed,
      countsInFull,
      tasks,
      isCrashProven,
      others,
    ],
  ) =>
    readList(tasks).map((task) => ({
      endpointId,
      processStartMs,
      hasCrashed,
      isCrashProven: isCrashProven === true,
      countsInFull,
      others: typeof others === "number" ? others : 0,
      task,
    }))
  );
}
