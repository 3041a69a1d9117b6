/** States of the own lease, as in charts/lease.json. */
export type LeasePhase = "none" | "held" | "lapsed" | "lost" | "released";
