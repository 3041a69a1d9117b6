import { z } from "zod";
import { addressSchema } from "./address_schema.ts";
import { commonSettingsSchema } from "./common_settings_schema.ts";

/** The schema of the settings of an entry process. */
export const entrySettingsSchema = commonSettingsSchema.extend({
  role: z.literal("entry"),
  /** Address at which callers reach the process. With port 0, the process takes a free port. */
  callerAddress: addressSchema,
  /** Address at which other entries reach the process. It is also the name of the process. */
  peerAddress: addressSchema,
  /** Address of this VM's control daemon. */
  controlAddress: addressSchema,
  /** Relative capacity of the process; its share of the shards is in proportion. @default 1 */
  weight: z.number().positive().max(1_000).default(1),
  /** Maximum size of a caller's request body, in bytes. @default 16777216 */
  maxRequestBytes: z.int().min(1_024).default(16_777_216),
  /** Maximum size of an endpoint's reply, in bytes. @default 1048576 */
  maxReplyBytes: z.int().min(1_024).default(1_048_576),
  /** Maximum number of tasks of one job. @default 2000 */
  maxTasksPerJob: z.int().min(1).max(100_000).default(2_000),
  /** Maximum deadline that a caller may request, in ms. @default 600000 */
  maxDeadlineMs: z.int().min(1_000).default(600_000),
  /** Maximum duration of a planned stop, in ms. @default 660000 */
  stopWithinMs: z.int().min(1_000).default(660_000),
  /** Seed of the random choices; a random seed is taken when it is absent. */
  seed: z.int().optional(),
});
