/** What the platform stand-in does wrong at present. */
export type PlatformFaults = {
  /** Time added to every call, in ms. */
  delayMs: number;
  /** Breaks every connection before the call takes effect. */
  down: boolean;
  /** Breaks this many of the next transactions after they took effect. */
  loseReplies: number;
};
