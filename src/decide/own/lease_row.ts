/** Value of the lease row of a process in the platform table. */
export type LeaseRow = {
  /** Id that changes with each start of the process. */
  incarnation: string;
  /** Address for peers: IP address and port, joined by a colon. */
  address: string;
  /** Address of the control daemon on the VM of the process. */
  controlAddress: string;
  dataCentre: string;
  /** Relative capacity of the process, which determines its share of the shards. */
  weight: number;
  /**
   * "leaving": acquires no more shards. "ended": released by the process or
   * fenced by another one.
   */
  state: "live" | "leaving" | "ended";
  /** Duration of the lease after each write of the row, in ms. */
  leaseMs: number;
  /**
   * Latest renewal whose confirmation the process had received when it wrote
   * the row, on the platform's clock, in Unix ms.
   */
  ackedAtMs: number;
  /**
   * Time on the platform's clock, in Unix ms, before which every started job
   * has a durable claim.
   */
  coveredUntilMs: number;
  /**
   * Whether the process stopped cleanly and released everything; it then leaves
   * no suspect window.
   */
  clean: boolean;
};
