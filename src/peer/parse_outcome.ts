import type { JobOutcome } from "../scheduler/job_outcome.ts";
import type { SchedulerMessages } from "./scheduler_messages.ts";

/** Parses the gRPC form of a job's end. */
export function parseOutcome(
  ended: NonNullable<SchedulerMessages["toVm"]["ended"]>,
): JobOutcome {
  const { type, reason, retryAfterMs } = ended;
  if (type === "completed") return { type };
  if (type === "refused") {
    return { type, reason, retryAfterMs } as JobOutcome;
  }
  return { type: "failed", reason } as JobOutcome;
}
