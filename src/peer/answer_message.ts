/** The gRPC form of an answer. */
export type AnswerMessage = {
  status: string;
  results: string[];
  failureKind: string;
  failureMessage: string;
  mayHaveRun: boolean;
  notRun: boolean;
  /** Negative when there is none. */
  retryAfterMs: number;
  record: string;
};
