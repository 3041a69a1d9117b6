import { z } from "zod";
import { addressSchema } from "./address_schema.ts";

/** The settings that both roles share. */
export const commonSettingsSchema = z.strictObject({
  /** The name of the data centre that the process runs in. */
  dataCentre: z.string().regex(/^[A-Za-z0-9_-]{1,64}$/),
  /** Base URL of the platform's services, with an IP number. */
  platformUrl: z.url({ protocol: /^https?$/ }),
  /** How long a call to the platform may take, in ms. @default 2000 */
  platformTimeoutMs: z.int().min(50).max(60_000).default(2_000),
  /** Least severe level that is logged. @default "info" */
  logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
    "info",
  ),
  /** StatsD address for metrics; off when absent. */
  metricsAddress: addressSchema.optional(),
});
