import type { EntryContext } from "../../src/entry/entry_context.ts";

/** An entry in the fuzzer's world. */
export type FakeEntry = {
  context: EntryContext;
  dataCentre: string;
  isDead: boolean;
  /** Whether its VM went with it, so that its address is silent. */
  isLostWithVm: boolean;
  /** Whether it takes new callers. */
  isOpen: boolean;
  /** Requests of callers that it has not answered. */
  openRequests: number;
  /** Whether it has been without the platform within the last few seconds. */
  isCutOff(): boolean;
};
