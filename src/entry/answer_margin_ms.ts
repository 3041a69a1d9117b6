/** Added to a wait that a peer was asked for, so that the peer answers first, in ms. */
export const ANSWER_MARGIN_MS = 2_000;
