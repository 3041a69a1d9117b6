import type { Evacuations } from "./evacuations.ts";

/** Whether two lists name the same data centres, at whichever revision; a list that is not known differs from each. */
export function hasSameDataCentres(
  one: Evacuations | undefined,
  other: Evacuations | undefined,
): boolean {
  if (!one || !other) return one === other;
  return one.dataCentres.length === other.dataCentres.length &&
    one.dataCentres.every((name, index) => name === other.dataCentres[index]);
}
