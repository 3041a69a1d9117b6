import { readIdTime } from "../claim/read_id_time.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Returns whether a job may start without a durable claim while the process is
 * cut off from the platform. Its submission id must have been created after the
 * time up to which all claims are known to be durable: no earlier holder can
 * have started such a job, and its id lies in the suspect window for any later
 * holder until the claim is durable.
 */
export function canStartWithoutDurableClaim(
  state: EntryState,
  submissionId: string,
  clock: ClockReading,
): boolean {
  const { policy } = state.version.configuration;
  if (!policy.serveCutOff) return false;
  const createdAtMs = readIdTime(submissionId);
  if (createdAtMs === undefined) return false;
  return createdAtMs > state.lease.coveredUntilMs + policy.clockSkewMs &&
    createdAtMs <= clock.wallMs;
}
