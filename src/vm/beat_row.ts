/** The row by which the scheduler shows that it lives and reaches the store. */
export type BeatRow = {
  epoch: number;
  /** The store's clock when it was written, in ms. */
  storeMs: number;
};
