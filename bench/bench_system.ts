import type { SpawnedProcess } from "../test/fixtures/spawn_process.ts";

/** The processes that a scenario runs against. */
export type BenchSystem = {
  /** Returns the base URLs of the entries that have not exited. */
  urls(): string[];
  entries: SpawnedProcess[];
  /** Control daemon; absent for the naive version. */
  control?: SpawnedProcess;
  platformUrl: string;
  endpointUrls: string[];
  /** Posts a patch of the configuration; does nothing for the naive version. */
  patch(patch: object): Promise<void>;
  /** Kills every process. */
  stop(): void;
};
