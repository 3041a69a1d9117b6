import type { EntryState } from "../decide/entry/entry_state.ts";
import { dispatchJobs } from "../decide/entry/dispatch_jobs.ts";
import type { ClockReading } from "../utils/clock_reading.ts";
import { readClock } from "../utils/read_clock.ts";
import type { EntryContext } from "./entry_context.ts";
import { runCommands } from "./run_commands.ts";

/** Makes one decision, sends what it freed, and carries the commands out. */
export function decide(
  context: EntryContext,
  change: (state: EntryState, clock: ClockReading) => void,
): void {
  const clock = readClock();
  change(context.state, clock);
  dispatchJobs(context.state, clock);
  runCommands(context);
  context.wakeWriter();
}
