import { SINGLE_GROUP } from "./single_group.ts";
import type { GroupLayout } from "./group_layout.ts";

/** Lists the names of all groups sorted by name, so that every VM has them in the same order. */
export function listGroups({ groups }: GroupLayout): string[] {
  const names = [...new Set(Object.values(groups))].sort();
  return names.length > 0 ? names : [SINGLE_GROUP];
}
