/** A gRPC call from one entry to another. */
export type PeerCall = {
  method: "SubmitJob" | "LookUpJob" | "CancelJob";
  /** The request message of the method, as defined in proto/peer.proto. */
  request: object;
  timeoutMs: number;
};
