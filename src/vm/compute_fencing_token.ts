/** Tokens of one epoch: the scheduler's own, and one for each VM of a data centre that serves alone. */
const TOKENS_PER_EPOCH = 100;

/** Computes the token of the scheduler of an epoch (place 0) or of a VM that serves alone (places from 1). */
export function computeFencingToken(epoch: number, place: number): number {
  return epoch * TOKENS_PER_EPOCH + Math.min(place, TOKENS_PER_EPOCH - 1);
}
