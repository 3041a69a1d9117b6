/** Added to the wait requested of a peer to get the call's time-out, so that the peer answers before the call times out, in ms. */
export const PEER_TIMEOUT_MARGIN_MS = 2_000;
