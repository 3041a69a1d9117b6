/** Identifies a run end in the list of an endpoint. */
export type RunEndId = {
  endpointId: string;
  /** Start of the endpoint's process, in Unix ms: each process numbers its ends from 1. */
  processStartMs: number;
  number: number;
};
