import { z } from "zod";
import { addressSchema } from "./address_schema.ts";
import { commonSettingsSchema } from "./common_settings_schema.ts";

/** The schema of the settings of a control daemon. */
export const controlSettingsSchema = commonSettingsSchema.extend({
  role: z.literal("control"),
  /** Address at which operators reach the daemon. */
  operatorAddress: addressSchema,
  /** Address at which this VM's entries and other control daemons reach the daemon. */
  peerAddress: addressSchema,
  /** Addresses of control daemons that are asked for the configuration version until lease rows have been read. @default [] */
  peers: z.array(addressSchema).default([]),
  /** Interval at which the platform is read, in ms; jitter is added. @default 1000 */
  pollMs: z.int().min(50).max(5_000).default(1_000),
  /** SHA-256, in hexadecimal, of the token that may submit the first version. */
  bootstrapTokenDigest: z.string().regex(/^[0-9a-f]{64}$/).optional(),
});
