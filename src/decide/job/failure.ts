import type { FailureKind } from "./failure_kind.ts";

/** Why a job has no complete answer. */
export type Failure = {
  kind: FailureKind;
  /** What happened and what the caller should do next. */
  message: string;
};
