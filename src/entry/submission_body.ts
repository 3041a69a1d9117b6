import type { z } from "zod";
import type { createSubmissionSchema } from "./create_submission_schema.ts";

/** The validated body of a submission, with defaults applied. */
export type SubmissionBody = z.output<
  ReturnType<typeof createSubmissionSchema>
>;
