import chart from "../../charts/scheduled_task.json" with { type: "json" };
import type { ScheduledTask } from "./scheduled_task.ts";
import type { SchedulerState } from "./scheduler_state.ts";
import type { TaskEvent } from "./task_event.ts";
import type { TaskPhase } from "./task_phase.ts";

type States = Record<
  TaskPhase,
  { on?: Partial<Record<TaskEvent, string>> }
>;

const STATES = chart.states as States;

/**
 * Changes the phase of a task as the chart says, and with it the job's counts
 * of waiting and open tasks. Returns false, and changes nothing, where the
 * chart does not allow the event: a message about a run may arrive when the
 * task has moved on, and a task that is done stays done.
 */
export function changeTaskPhase(
  state: SchedulerState,
  task: ScheduledTask,
  event: TaskEvent,
): boolean {
  const next = STATES[task.phase].on?.[event] as TaskPhase | undefined;
  if (next === undefined) return false;
  const { job } = task;
  if (task.phase === "waiting") {
    job.waitingTaskCount -= 1;
    if (job.waitingTaskCount === 0) state.waiting.delete(job);
  }
  (task as { phase: TaskPhase }).phase = next;
  if (next === "waiting") {
    job.waitingTaskCount += 1;
    state.waiting.add(job);
  }
  if (next === "done") job.openTaskCount -= 1;
  return true;
}
