import VError from "verror";
import type { ErrorKind } from "./error_kind.ts";

/** A typed error whose message says what was found and names the remedy. */
export class ChivegradeError extends VError {
  /** The kind of fault, stable across versions. */
  readonly kind: ErrorKind;
  /** What the reader should do next. */
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
