/** An endpoint of the load model. Times are in ms from the start. */
export type ModelEndpoint = {
  /** Capacity, in millicores. */
  cpu: number;
  /** Work done per time, relative to an average endpoint. */
  speed: number;
  dataCentre: string;
  /** Labels for the kind of endpoint and its rack, as in the list of endpoints. */
  labels: string[];
  /** When the endpoint joins. Default: 0. */
  fromMs?: number;
  /** When the endpoint ends, after it has drained for 2 s. Default: never. */
  toMs?: number;
};
