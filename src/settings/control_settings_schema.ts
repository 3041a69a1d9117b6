import { z } from "zod";
import { addressSchema } from "./address_schema.ts";
import { commonSettingsSchema } from "./common_settings_schema.ts";

/** The settings of a control daemon; each option names its default. */
export const controlSettingsSchema = commonSettingsSchema.extend({
  role: z.literal("control"),
  /** Where operators reach the daemon. */
  operatorAddress: addressSchema,
  /** Where this VM's entries and other daemons reach the daemon. */
  peerAddress: addressSchema,
  /** Daemons asked for the version before any lease row is known. @default [] */
  peers: z.array(addressSchema).default([]),
  /** How often the platform is read, in ms, with jitter. @default 1000 */
  pollMs: z.int().min(50).max(5_000).default(1_000),
  /** SHA-256 of the token that may submit the first version. */
  bootstrapTokenDigest: z.string().regex(/^[0-9a-f]{64}$/).optional(),
});
