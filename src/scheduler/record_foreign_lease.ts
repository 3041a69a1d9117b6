import type { EndpointRecord } from "./endpoint_record.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/** Records that another scheduler may have granted an endpoint a full lease just before its latest reply. */
export function recordForeignLease(
  { limits }: SchedulerState,
  endpoint: EndpointRecord,
): void {
  endpoint.leaseEndMs = Math.max(
    endpoint.leaseEndMs,
    endpoint.clockMs + limits.leaseMs,
  );
}
