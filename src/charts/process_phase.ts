/** The phases of an entry process: the states of charts/process.json. */
export type ProcessPhase = "starting" | "serving" | "draining" | "stopped";
