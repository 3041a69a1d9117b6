/** Simulated time of the load model. */
export type ModelClock = {
  /** Returns the time since the start, in ms. */
  readNow(): number;
  /** Runs a callback at a simulated time, in ms. */
  runAt(atMs: number, run: () => void): void;
  /** Runs callbacks in the order of their times until `endMs`. */
  runUntil(endMs: number): void;
};
