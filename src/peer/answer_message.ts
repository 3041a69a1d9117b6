/** A job's answer as a gRPC message, `Answer` in proto/peer.proto. */
export type AnswerMessage = {
  status: string;
  results: string[];
  failureKind: string;
  failureMessage: string;
  mayHaveRun: boolean;
  notRun: boolean;
  /** Delay after which the caller may retry, in ms; negative when there is none. */
  retryAfterMs: number;
  record: string;
};
