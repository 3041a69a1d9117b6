/** One job as it is to arrive. */
export type Arrival = {
  /** Time after the first arrival, in ms. */
  atMs: number;
  client: "guild" | "flood";
  /** Run times of its tasks at an average endpoint, in ms. */
  runMs: number[];
  declaredMs?: number[];
  service: "proof" | "nowhere";
  /** Cancelled this long after it was sent, in ms. */
  cancelAfterMs?: number;
};
