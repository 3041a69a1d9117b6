/** The states of charts/lease.json. */
export type LeasePhase = "none" | "held" | "lapsed" | "lost" | "released";
