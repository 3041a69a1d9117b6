/** Fencing tokens reserved for each epoch: one for the scheduler, and one for each VM of a data centre in solo mode. */
const TOKENS_PER_EPOCH = 100;

/** Computes the fencing token of the scheduler of an epoch (index 0) or of a VM in solo mode (from 1, one index per VM of a data centre). */
export function computeFencingToken(epoch: number, tokenIndex: number): number {
  return epoch * TOKENS_PER_EPOCH + Math.min(tokenIndex, TOKENS_PER_EPOCH - 1);
}
