/** One end in an endpoint's list. */
export type RunEndId = {
  endpointId: string;
  /** Unix ms at which the endpoint's process began: ends are numbered anew by each. */
  processStartMs: number;
  number: number;
};
