import type { JobOrder } from "../scheduler/job_order.ts";
import type { KnownProgress } from "../scheduler/known_progress.ts";
import type { SchedulerMessages } from "./scheduler_messages.ts";

type Submit = NonNullable<SchedulerMessages["fromVm"]["submit"]>;

/** Parses the gRPC form of a job and of what is known of it. */
export function parseSubmit(
  message: Submit,
): { order: JobOrder; progress: KnownProgress } {
  const { resubmitted, done, placed, ...order } = message;
  const steps = message.steps.map((step) => ({
    count: step.count,
    room: { cpu: step.cpu, memoryMb: step.memoryMb, gpus: step.gpus },
    estimateMs: step.estimateMs,
    after: step.after,
    rack: step.rack || undefined,
    requiredLabel: step.requiredLabel || undefined,
    mostPerEndpoint: step.mostPerEndpoint || undefined,
  }));
  return {
    order: { ...order, steps },
    progress: { isResubmitted: resubmitted, done, placed },
  };
}
