/** Faults that the platform stand-in currently simulates. */
export type PlatformFaults = {
  /** Delay added to every request, in ms. */
  delayMs: number;
  /** Closes the connection of every request before the request takes effect. */
  down: boolean;
  /** Number of coming transactions that are applied but whose connection is closed without a reply. */
  loseReplies: number;
};
