import type { SlotsInUse } from "./slots_in_use.ts";
import type { SuspectWindow } from "../claim/suspect_window.ts";

/** Value of the row of a shard in the platform table. */
export type ShardRow = {
  /** Name of the process that holds the shard. */
  holder: string;
  /** Incarnation of the holder. */
  incarnation: string;
  /** Rises with every change of the holder. */
  epoch: number;
  /** Slots of endpoints that tasks of the process that handed the shard over still use. */
  inUse: SlotsInUse[];
  /** Suspect windows that lost holders of the shard left. */
  windows: SuspectWindow[];
};
