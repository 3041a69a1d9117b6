import { z } from "zod";
import { addressSchema } from "./address_schema.ts";
import { commonSettingsSchema } from "./common_settings_schema.ts";

/** The settings of an entry process; each option names its default. */
export const entrySettingsSchema = commonSettingsSchema.extend({
  role: z.literal("entry"),
  /** Where callers reach the process. Port 0 takes a free one. */
  callerAddress: addressSchema,
  /** Where other entries reach the process; its name as well. */
  peerAddress: addressSchema,
  /** Where this VM's control daemon is reached. */
  controlAddress: addressSchema,
  /** Relative capacity, for the process's share of the shards. @default 1 */
  weight: z.number().positive().max(1_000).default(1),
  /** Largest request body taken from a caller, in bytes. @default 16777216 */
  maxRequestBytes: z.int().min(1_024).default(16_777_216),
  /** Largest reply taken from an endpoint, in bytes. @default 1048576 */
  maxReplyBytes: z.int().min(1_024).default(1_048_576),
  /** Most tasks of one job. @default 2000 */
  maxTasksPerJob: z.int().min(1).max(100_000).default(2_000),
  /** Longest deadline that a caller may ask for, in ms. @default 600000 */
  maxDeadlineMs: z.int().min(1_000).default(600_000),
  /** Longest time that a planned stop may take, in ms. @default 660000 */
  stopWithinMs: z.int().min(1_000).default(660_000),
  /** Seed of the random choices; a random one when absent. */
  seed: z.int().optional(),
});
