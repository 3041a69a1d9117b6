import type { EndpointRecord } from "./endpoint_record.ts";

/** A single sample counts as at most this many times slower or faster than expected, so that later samples can outweigh any. */
const MAX_RATIO = 8;

/** Updates an endpoint's slowness, which stays within 1 / 8 to 8, from the ratio of a run's time to the expected one. `weight` is that of the sample, from 0 to 1. */
export function learnSlowness(
  endpoint: EndpointRecord,
  sample: { ratio: number; weight: number },
): void {
  const { ratio, weight } = sample;
  const bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
  endpoint.slowness = Math.exp(
    Math.log(endpoint.slowness) * (1 - weight) + Math.log(bounded) * weight,
  );
}
