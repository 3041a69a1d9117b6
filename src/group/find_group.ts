import { SINGLE_GROUP } from "./single_group.ts";
import type { GroupLayout } from "./group_layout.ts";
import { listGroups } from "./list_groups.ts";

/** Finds the group of a data centre; a data centre that the layout does not name belongs to the first group. */
export function findGroup(layout: GroupLayout, dataCentre: string): string {
  return layout.groups[dataCentre] ?? listGroups(layout)[0] ?? SINGLE_GROUP;
}
