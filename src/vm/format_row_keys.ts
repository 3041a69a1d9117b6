import { SINGLE_GROUP } from "../group/single_group.ts";

/** Table of the rows that change rarely and that every VM watches. */
const TABLE = "chivegrade/";
/** Table of the heartbeats: written often, and read only by VMs that consider a takeover and by other groups' schedulers. */
const HEARTBEAT_TABLE = "chivegrade-beat/";
const NAME = "scheduler";
const SEPARATOR = ".";

/** Formats the keys of a group's rows in the store. */
export function formatRowKeys(group: string): {
  /** The scheduler row, which names the role holder. */
  scheduler: string;
  /** The scheduler's heartbeat. */
  heartbeat: string;
} {
  const suffix = group === SINGLE_GROUP ? "" : `${SEPARATOR}${group}`;
  return {
    scheduler: `${TABLE}${NAME}${suffix}`,
    heartbeat: `${HEARTBEAT_TABLE}${NAME}${suffix}`,
  };
}
