import type { EntryState } from "../decide/entry/entry_state.ts";
import { startWaitingTasks } from "../decide/entry/start_waiting_tasks.ts";
import type { ClockReading } from "../utils/clock_reading.ts";
import { readClock } from "../utils/read_clock.ts";
import { readError } from "../errors/read_error.ts";
import type { EntryContext } from "./entry_context.ts";
import { runCommands } from "./run_commands.ts";

/**
 * Makes one decision, sends what it freed, and carries the commands out. A
 * step that a chart does not allow is logged, and the process goes on.
 */
export function decide(
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
  context.wakeWriter();
}
