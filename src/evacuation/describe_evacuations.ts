import { formatLabels } from "../metrics/format_labels.ts";

/** Describes, as gauges, for how long each data centre has been evacuated, in ms. */
export function describeEvacuations(
  ages: Map<string, number>,
): Record<string, number> {
  return Object.fromEntries(
    [...ages].map(([name, ageMs]) => [
      `evacuated_for_ms${formatLabels({ data_centre: name })}`,
      ageMs,
    ]),
  );
}
