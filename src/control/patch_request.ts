import { z } from "zod";

/** The schema of a patch request. */
export const patchRequestSchema = z.strictObject({
  /** The version that the patch was created against. */
  base: z.int().min(0),
  /** Chosen by the operator. A patch with an id that was accepted before is not applied again. */
  patchId: z.string().regex(/^[A-Za-z0-9_-]{1,64}$/),
  /** A JSON merge patch of the configuration. */
  patch: z.record(z.string(), z.unknown()),
  /** Accept a patch that leaves a service without endpoints. @default false */
  force: z.boolean().default(false),
  /** Return the changes without applying them. @default false */
  dryRun: z.boolean().default(false),
});
