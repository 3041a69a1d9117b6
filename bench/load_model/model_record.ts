import type { ModelScore } from "./model_score.ts";

/** The score of a case, as saved for the report. */
export type ModelRecord = { name: string; score: ModelScore };
