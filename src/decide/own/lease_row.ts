/** The value of a process's lease row in the platform's table. */
export type LeaseRow = {
  /** A new one each time the process starts. */
  incarnation: string;
  /** Where peers reach the process: an IP address and a port. */
  address: string;
  /** Where the control daemon of the process's VM is reached. */
  controlAddress: string;
  dataCentre: string;
  /** Relative capacity of the process, for its share of the shards. */
  weight: number;
  /** "leaving" takes no shard; "ended" is over, cleanly or fenced by another. */
  state: "live" | "leaving" | "ended";
  /** How long the lease lasts after each write of the row, in ms. */
  leaseMs: number;
  /** The latest renewal that the process had seen confirmed, by the platform's clock, in Unix ms. */
  ackedAtMs: number;
  /** Every job started before was durable by this platform time, in Unix ms. */
  coveredUntilMs: number;
  /** Whether the process released everything itself. */
  clean: boolean;
};
