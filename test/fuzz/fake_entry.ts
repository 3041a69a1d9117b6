import type { EntryContext } from "../../src/entry/entry_context.ts";

/** A simulated entry process. */
export type FakeEntry = {
  context: EntryContext;
  dataCentre: string;
  isDead: boolean;
  /** Whether its VM was lost too, so that probes of its address get no answer. */
  isVmLost: boolean;
  /** Whether it accepts new requests of callers. */
  isOpen: boolean;
  /** Number of callers' requests that it has not answered. */
  openRequests: number;
  /** Whether it was cut off from the platform within the last 2 s. */
  isCutOff(): boolean;
};
