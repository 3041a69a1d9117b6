import { z } from "zod";

/** The schema of a patch as operators post it. */
export const patchRequestSchema = z.strictObject({
  /** The version that the patch was made against. */
  base: z.int().min(0),
  /** Chosen by the operator's side; the same id never applies twice. */
  patchId: z.string().regex(/^[A-Za-z0-9_-]{1,64}$/),
  /** A JSON merge patch of the configuration. */
  patch: z.record(z.string(), z.unknown()),
  /** Accept a patch that leaves a service without endpoints. @default false */
  force: z.boolean().default(false),
  /** Only show what would change. @default false */
  dryRun: z.boolean().default(false),
});
