/**
 * Difference between the time-out of a call to a peer and the wait requested in
 * it, so that the peer answers before the call times out, in ms.
 */
export const PEER_TIMEOUT_MARGIN_MS = 2_000;
