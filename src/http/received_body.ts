/** A body that has been received, or why it was not. */
export type ReceivedBody =
  | { type: "whole"; bytes: Buffer }
  | { type: "tooLarge" | "refused" | "broken" };
