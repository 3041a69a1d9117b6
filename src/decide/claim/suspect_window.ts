/**
 * A span of id times whose submissions an earlier holder may have started
 * without a durable claim, in Unix ms; the start is outside, the end inside.
 */
export type SuspectWindow = { fromMs: number; toMs: number };
