/** States of this process's lease, as in charts/lease.json. */
export type LeasePhase = "none" | "held" | "lapsed" | "lost" | "released";
