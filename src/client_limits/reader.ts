/** A connection of a client, as the order of reading sees it. */
export type Reader = {
  /** Time that the bytes of its unfinished request have taken, in ms. */
  workMs: number;
  /** Whether a request has been received whole since the last read. */
  hasReceivedRequest: boolean;
  /** Bytes that have arrived and wait to be read; kept by the queue. */
  waitingBytes: number;
  /** Reads and handles some of its bytes. */
  readSlice(): void;
  /** Bytes that have arrived and can be read now. */
  countReadableBytes(): number;
  /** Gives its bytes up by refusing the client. */
  refuse(): void;
};
