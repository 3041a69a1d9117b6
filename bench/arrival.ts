/** One job of a load and when it is sent. */
export type Arrival = {
  /** Time after the first arrival, in ms. */
  atMs: number;
  client: "guild" | "flood";
  /** Run times of its tasks at an endpoint of slowness 1, in ms. */
  runMs: number[];
  /** Run times that the caller declares for the tasks, in ms; none when absent. */
  declaredMs?: number[];
  /** `nowhere` is a service that no endpoint serves. */
  service: "proof" | "nowhere";
  /** The caller cancels the job this long after sending it unless it is answered before, in ms; never when absent. */
  cancelAfterMs?: number;
};
