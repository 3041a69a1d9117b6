/** What holds memory on behalf of a client: a body that is being received, or an answer that is not read. */
export type MemoryHolder = {
  /** Memory that it holds, in bytes. */
  bytes: number;
  /** Since when, on the monotonic clock, in ms. */
  sinceMs: number;
  /** Gives the memory up by refusing the client. */
  refuse(): void;
};
