import { SINGLE_GROUP } from "../group/single_group.ts";

/** The table of rows that change rarely, and that every VM watches. */
const TABLE = "chivegrade/";
/** The table of beats: written often, and read only by VMs that doubt and by other groups' schedulers. */
const BEAT_TABLE = "chivegrade-beat/";
const NAME = "scheduler";
const SEPARATOR = ".";

/** Formats the keys of a group's own rows in the store. */
export function formatRowKeys(group: string): {
  /** Who places the group's tasks. */
  scheduler: string;
  beat: string;
} {
  const suffix = group === SINGLE_GROUP ? "" : `${SEPARATOR}${group}`;
  return {
    scheduler: `${TABLE}${NAME}${suffix}`,
    beat: `${BEAT_TABLE}${NAME}${suffix}`,
  };
}
