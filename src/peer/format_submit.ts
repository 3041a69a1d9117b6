import type { JobOrder } from "../scheduler/job_order.ts";
import type { KnownProgress } from "../scheduler/known_progress.ts";
import type { SchedulerMessages } from "./scheduler_messages.ts";

/** Formats a job and what is known of it as a gRPC message. */
export function formatSubmit(
  order: JobOrder,
  progress: KnownProgress,
): SchedulerMessages["fromVm"] {
  const steps = order.steps.map(({ room, ...step }) => ({
    ...room,
    count: step.count,
    estimateMs: step.estimateMs,
    after: step.after,
    rack: step.rack ?? "",
    requiredLabel: step.requiredLabel ?? "",
    mostPerEndpoint: step.mostPerEndpoint ?? 0,
  }));
  const { isResubmitted, done, placed } = progress;
  return {
    submit: { ...order, steps, resubmitted: isResubmitted, done, placed },
  };
}
