import type { z } from "zod";
import type { createSubmissionSchema } from "./create_submission_schema.ts";

/** A job as a caller posted it, checked and with defaults filled in. */
export type Submission = z.output<ReturnType<typeof createSubmissionSchema>>;
