import { z } from "zod";
import type { EntrySettings } from "../settings/entry_settings.ts";

const identifier = z.string().regex(
  /^[A-Za-z0-9._:-]{1,128}$/,
  "use 1 to 128 letters, digits, '.', '_', ':' or '-'",
);

/** Creates the schema of the body of a submission, with the limits of the entry's settings. */
export function createSubmissionSchema(settings: EntrySettings) {
  const task = z.strictObject({
    /** The service that is to run the task. */
    service: identifier,
    /** The body for the endpoint: any JSON value. @default null */
    body: z.unknown().default(null),
    /** The task runs at most once and is never retried after it may have started. @default false */
    unrepeatable: z.boolean().default(false),
    /** The run time that the caller expects, in ms. A hint only. */
    declaredRunTimeMs: z.number().positive().max(86_400_000).optional(),
    /** The size of the result that the caller expects, in bytes. A hint only. */
    declaredBytes: z.number().nonnegative().optional(),
  });
  return z.strictObject({
    /** The client on whose behalf the job is submitted. */
    client: identifier,
    /**
     * Identifies the submission; a resubmission uses the same id. A job
     * whose id is a UUIDv7 can also run while the platform is unreachable.
     */
    submissionId: identifier,
    /** Time after which the job fails, in ms. @default 30000 */
    deadlineMs: z.number().positive().max(settings.maxDeadlineMs).default(
      Math.min(30_000, settings.maxDeadlineMs),
    ),
    /** How long to wait for the answer, in ms; the deadline plus a margin when absent. */
    waitMs: z.number().nonnegative().optional(),
    tasks: z.array(task).min(1).max(settings.maxTasksPerJob),
  });
}
