import { z } from "zod";
import { DEFAULT_PROCESS_LIMITS } from "../client_limits/default_process_limits.ts";
import { addressSchema } from "./address_schema.ts";

/** The schema of the settings that both roles have. */
export const commonSettingsSchema = z.strictObject({
  /** The name of the data centre that the process runs in. */
  dataCentre: z.string().regex(/^[A-Za-z0-9_-]{1,64}$/),
  /** Base URL of the platform's services, with an IP address. */
  platformUrl: z.url({ protocol: /^https?$/ }),
  /** Time-out of a call to the platform, in ms. @default 2000 */
  platformTimeoutMs: z.int().min(50).max(60_000).default(2_000),
  /** Least severe level that is logged. @default "info" */
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
  /** StatsD address that metrics are sent to; none are sent when it is absent. */
  metricsAddress: addressSchema.optional(),
  /** Memory that the process may use, in MB; limits on clients are shares of it. @default 512 */
  memoryMb: z.int().min(64).default(DEFAULT_PROCESS_LIMITS.memoryMb),
  /** Descriptors that the process may open; limits on clients are shares of it. @default 4096 */
  maxFds: z.int().min(256).default(DEFAULT_PROCESS_LIMITS.maxFds),
});
