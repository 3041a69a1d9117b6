import type { GroupLayout } from "../group/group_layout.ts";
import { findGroup } from "../group/find_group.ts";
import type { Evacuations } from "./evacuations.ts";

/** Whether all data centres of a group are evacuated, as far as the layout names them. */
export function isGroupEvacuated(
  layout: GroupLayout,
  group: string,
  evacuations: Evacuations | undefined,
): boolean {
  if (!evacuations || evacuations.dataCentres.length === 0) return false;
  const dataCentres = Object.keys(layout.groups)
    .filter((dataCentre) => findGroup(layout, dataCentre) === group);
  return dataCentres.length > 0 &&
    dataCentres.every((one) => evacuations.dataCentres.includes(one));
}
