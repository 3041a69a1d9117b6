/**
 * Range of creation times of submission ids, in Unix ms, that an earlier holder
 * of the shard may have started without a durable claim. `fromMs` is excluded
 * from the range, `toMs` is included.
 */
export type SuspectWindow = { fromMs: number; toMs: number };
