/** The states of charts/process.json. */
export type ProcessPhase = "starting" | "serving" | "draining" | "stopped";
