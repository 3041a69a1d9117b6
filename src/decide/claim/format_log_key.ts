/** Digits to which epochs and sequence numbers are padded, so that keys sort by number. */
const NUMBER_DIGITS = 10;

/**
 * Formats the table key of a shard log row; without a sequence number, the key
 * prefix of all rows of the epoch.
 */
export function formatLogKey(
  shardEpoch: { dataCentre: string; shard: number; epoch: number },
  sequence?: number,
): string {
  const epoch = String(shardEpoch.epoch).padStart(NUMBER_DIGITS, "0");
  const prefix = `log/${shardEpoch.dataCentre}/${shardEpoch.shard}/${epoch}/`;
  if (sequence === undefined) return prefix;
  return prefix + String(sequence).padStart(NUMBER_DIGITS, "0");
}
