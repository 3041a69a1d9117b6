import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { GroupLayout } from "./group_layout.ts";

/** Up to this many endpoints have one scheduler: smaller pools can't hold wide jobs. */
const MOST_IN_ONE = 128;
/** A data centre with fewer endpoints joins the smallest group. */
const LEAST_IN_GROUP = 24;

/**
 * Computes the groups of a deployment: one while a single scheduler can carry
 * it, else one a data centre. Load it answers: more starts a second than one
 * VM's processor can send.
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
    (counts.get(name) ?? 0) >= LEAST_IN_GROUP
  );
  if (rows.length <= MOST_IN_ONE || large.length < 2) return { groups: {} };
  const [smallest] = large.toSorted((one, other) =>
    (counts.get(one) ?? 0) - (counts.get(other) ?? 0)
  );
  const groups = names.map((name) => [
    name,
    large.includes(name) ? name : smallest,
  ]);
  return { groups: Object.fromEntries(groups) };
}
