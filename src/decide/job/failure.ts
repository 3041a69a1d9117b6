import type { FailureKind } from "./failure_kind.ts";

/** Reason why a job failed or was refused. */
export type Failure = {
  kind: FailureKind;
  /** Text for the caller: what happened and what to do next. */
  message: string;
};
