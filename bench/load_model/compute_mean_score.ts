import type { ModelScore } from "./model_score.ts";

/** Computes the mean of each figure over the scores of several seeds. */
export function computeMeanScore(scores: ModelScore[]): ModelScore {
  return computeMean(scores) as ModelScore;
}

/** Computes the mean of values of the same shape; numbers that are NaN are left out. */
function computeMean(values: unknown[]): unknown {
  const [first] = values;
  if (typeof first === "number") {
    const numbers = (values as number[]).filter((value) => !isNaN(value));
    const sum = numbers.reduce((total, value) => total + value, 0);
    return sum / numbers.length;
  }
  if (Array.isArray(first)) {
    return first.map((_, index) =>
      computeMean((values as unknown[][]).map((value) => value[index]))
    );
  }
  const records = values as Record<string, unknown>[];
  return Object.fromEntries(
    Object.keys(records[0]).map((key) => [
      key,
      computeMean(records.map((record) => record[key])),
    ]),
  );
}
