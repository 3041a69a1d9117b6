/** Digits of an epoch or sequence number, so that keys sort by number. */
const NUMBER_DIGITS = 10;

/** Formats the table key of a log row; without a sequence number, the prefix of the epoch. */
export function formatLogKey(
  place: { dataCentre: string; shard: number; epoch: number },
  sequence?: number,
): string {
  const epoch = String(place.epoch).padStart(NUMBER_DIGITS, "0");
  const prefix = `log/${place.dataCentre}/${place.shard}/${epoch}/`;
  if (sequence === undefined) return prefix;
  return prefix + String(sequence).padStart(NUMBER_DIGITS, "0");
}
