import VError from "verror";
import type { ErrorKind } from "./error_kind.ts";

/** An error with a kind. Its message states what was found and what to do about it. */
export class ChivegradeError extends VError {
  /** The kind of error; the kinds are stable across versions. */
  readonly kind: ErrorKind;
  /** What the user can do about the error; the text has no full stop. */
  readonly remedy: string;

  constructor(
    kind: ErrorKind,
    details: { found: string; remedy: string; cause?: Error },
  ) {
    super(
      { name: "ChivegradeError", cause: details.cause, info: { kind } },
      "%s",
      `${details.found}. ${details.remedy}`,
    );
    this.kind = kind;
    this.remedy = details.remedy;
  }
}
