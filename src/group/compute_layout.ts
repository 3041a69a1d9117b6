import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { GroupLayout } from "./group_layout.ts";

/** Up to this many endpoints form a single group: the smaller pools of several groups could not hold jobs with many parallel tasks. */
const MAX_ENDPOINTS_IN_SINGLE_GROUP = 128;
/** A data centre with fewer endpoints has no group of its own and joins the smallest group. */
const MIN_ENDPOINTS_IN_GROUP = 24;

/**
 * Computes the scheduling groups of a deployment: a single group while one
 * scheduler can serve all endpoints, otherwise one group for each large data
 * centre, because a large deployment needs more starts a second than the
 * processor of one VM can send.
 */
export function computeLayout(
  rows: Pick<EndpointRow, "dataCentre">[],
): GroupLayout {
  const counts = new Map<string, number>();
  for (const { dataCentre } of rows) {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  const names = [...counts.keys()].sort();
  const large = names.filter((name) =>
    (counts.get(name) ?? 0) >= MIN_ENDPOINTS_IN_GROUP
  );
  if (rows.length <= MAX_ENDPOINTS_IN_SINGLE_GROUP || large.length < 2) {
    return { groups: {} };
  }
  const [smallest] = large.toSorted((one, other) =>
    (counts.get(one) ?? 0) - (counts.get(other) ?? 0)
  );
  const groups = names.map((name) => [
    name,
    large.includes(name) ? name : smallest,
  ]);
  return { groups: Object.fromEntries(groups) };
}
