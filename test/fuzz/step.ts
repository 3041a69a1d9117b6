/** One step of a history. `entry` and `submission` are indices modulo the number of entries and of requests so far. */
export type Step =
  | {
    type: "submit";
    entry: number;
    client: "guild" | "rooms";
    /** Kind of the submission id: a UUIDv7 with a current, old or future time stamp, or an opaque text; a number repeats an earlier submission. */
    id: "recent" | "opaque" | "old" | "future" | number;
    tasks: { runMs: number; fail: boolean; unrepeatable: boolean }[];
    deadlineMs: number;
  }
  | { type: "advance"; ms: number }
  | { type: "kill"; entry: number; withVm: boolean }
  | { type: "restart"; entry: number }
  | { type: "join"; dataCentre: number }
  | { type: "drain"; entry: number }
  | { type: "cancel"; submission: number; entry: number }
  | { type: "cutPlatform"; dataCentre: number }
  | { type: "healPlatform"; dataCentre: number }
  | { type: "partition"; isPartitioned: boolean }
  | { type: "lose"; losses: ("reply" | "late")[] }
  | {
    type: "endpoint";
    endpoint: number;
    mode: "run" | "fail" | "refuse" | "down" | "loseReply";
    stallMs: number;
  }
  | { type: "leave"; endpoint: number; leaving: boolean }
  | { type: "racePatches"; count: number };
