import type { EntryState } from "../decide/entry/entry_state.ts";
import { startWaitingTasks } from "../decide/entry/start_waiting_tasks.ts";
import type { ClockReading } from "../utils/clock_reading.ts";
import { readClock } from "../utils/read_clock.ts";
import { readError } from "../errors/read_error.ts";
import type { EntryContext } from "./entry_context.ts";
import { runCommands } from "./run_commands.ts";

/**
 * Applies a change to the entry's state, starts waiting tasks that can now run,
 * executes the resulting commands and wakes the log writer. An error, such as
 * a transition that a state chart does not allow, is logged as
 * `decisionFailed`, and the process continues.
 */
export function updateState(
  context: EntryContext,
  change: (state: EntryState, clock: ClockReading) => void,
): void {
  const clock = readClock();
  try {
    change(context.state, clock);
    startWaitingTasks(context.state, clock);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.error("decisionFailed", { message });
  }
  runCommands(context);
  context.wakeLogWriter();
}
