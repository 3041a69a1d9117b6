/** A call of one entry to another. */
export type PeerCall = {
  method: "SubmitJob" | "LookUpJob" | "CancelJob";
  /** The request message of that method, as in proto/peer.proto. */
  request: object;
  timeoutMs: number;
};
