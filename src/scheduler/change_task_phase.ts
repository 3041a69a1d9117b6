import chart from "../../charts/scheduled_task.json" with { type: "json" };
import type { ChartDefinition } from "../charts/chart_definition.ts";
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { TaskEvent } from "./task_event.ts";
import type { TaskPhase } from "./task_phase.ts";

/** The next phase, by the phase and the event. */
const NEXT = readTable();

function readTable(): Record<TaskPhase, Partial<Record<TaskEvent, TaskPhase>>> {
  const { states }: ChartDefinition = chart;
  // The names of the states, as texts that are equal by identity: the phases of all tasks of a job are compared at each end of a run.
  const phases = Object.keys(states) as TaskPhase[];
  const find = (name: string) => phases.find((phase) => phase === name);
  const entries = Object.entries(states).map(([phase, { on = {} }]) => [
    phase,
    Object.fromEntries(
      Object.entries(on).map(([event, next]) => [event, find(next)]),
    ),
  ]);
  return Object.fromEntries(entries);
}

/**
 * Changes the phase of a task as the chart says, and with it the job's counts
 * of tasks by phase. Returns false, and changes nothing, where the
 * chart does not allow the event: a message about a run may arrive when the
 * task has moved on, and a task that is done stays done.
 */
export function changeTaskPhase(
  state: SchedulerState,
  task: ScheduledTask,
  event: TaskEvent,
): boolean {
  const next = NEXT[task.phase][event];
  if (next === undefined) return false;
  const { job } = task;
  if (task.phase === "blocked") job.blockedTaskCount -= 1;
  if (task.phase === "waiting") {
    job.waitingTaskCount -= 1;
    if (job.waitingTaskCount === 0) state.waiting.delete(job);
  }
  (task as { phase: TaskPhase }).phase = next;
  if (next === "waiting") {
    job.waitingTaskCount += 1;
    state.waiting.add(job);
  }
  if (next === "blocked") job.blockedTaskCount += 1;
  if (next === "done") job.openTaskCount -= 1;
  return true;
}
