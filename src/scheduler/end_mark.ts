/** One end in an endpoint's list. */
export type EndMark = {
  endpointId: string;
  /** Unix ms at which the endpoint's process began: ends are numbered anew by each. */
  bornMs: number;
  number: number;
};
