import { createClientGuard } from "../client_limits/create_client_guard.ts";
import type { ClientGuard } from "../client_limits/client_guard.ts";
import type { ProcessLimits } from "../client_limits/process_limits.ts";
import type { Logger } from "../log/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";

/** Creates the guard of a process of the product's own roles, which counts by StatsD. */
export function createRoleGuard(
  limits: ProcessLimits,
  outputs: { logger: Logger; metrics: Metrics },
): ClientGuard {
  return createClientGuard({
    limits,
    count: (reason) => outputs.metrics.increment(`client.refused.${reason}`),
    report: (reason, count) =>
      outputs.logger.warn("clientsRefused", { kind: reason, count }),
  });
}
