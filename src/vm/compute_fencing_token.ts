/** Fencing tokens reserved for each epoch: one for the scheduler, and one for each VM of a data centre in solo mode. */
const TOKENS_PER_EPOCH = 100;

/** Computes the fencing token of the scheduler of an epoch (place 0) or of a VM in solo mode (places from 1, one per VM of a data centre). */
export function computeFencingToken(epoch: number, place: number): number {
  return epoch * TOKENS_PER_EPOCH + Math.min(place, TOKENS_PER_EPOCH - 1);
}
