import type { SpawnedProcess } from "../test/fixtures/spawn_process.ts";

/** The processes of a run. */
export type BenchSystem = {
  /** Base URLs of the entries that live. */
  urls(): string[];
  entries: SpawnedProcess[];
  control?: SpawnedProcess;
  platformUrl: string;
  endpointUrls: string[];
  /** Posts a patch of the configuration. */
  patch(patch: object): Promise<void>;
  stop(): void;
};
