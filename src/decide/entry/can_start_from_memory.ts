import { readIdTime } from "../claim/read_id_time.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Whether a submission id is so young that no other holder can have started
 * it, and any later one will hold it for suspect until its claim is durable.
 */
export function canStartFromMemory(
  state: EntryState,
  submissionId: string,
  clock: ClockReading,
): boolean {
  const { policy } = state.version.configuration;
  if (!policy.serveCutOff) return false;
  const idTime = readIdTime(submissionId);
  if (idTime === undefined) return false;
  return idTime > state.lease.coveredUntilMs + policy.clockSkewMs &&
    idTime <= clock.wallMs;
}
