import { encodeFlags } from "./encode_flags.ts";

/** Bytes of an entry beside its flags. */
const ENTRY_BYTES = 16;
/** Flags that a character of base64 holds. */
const FLAGS_PER_CHARACTER = 6;

/** Encodes run numbers of a job's tasks: each number with the tasks that have it. Tasks that are started equally often have equal run numbers, so there are few entries; of more than fit into `maxBytes`, the latest are encoded. */
export function encodeRuns(
  runsOfTasks: number[][],
  maxBytes: number,
): [number, string][] {
  const flagsByRun = new Map<number, boolean[]>();
  runsOfTasks.forEach((runs, index) => {
    for (const run of runs) {
      const flags = flagsByRun.get(run) ?? runsOfTasks.map(() => false);
      flags[index] = true;
      flagsByRun.set(run, flags);
    }
  });
  const entryBytes = ENTRY_BYTES + runsOfTasks.length / FLAGS_PER_CHARACTER;
  return [...flagsByRun]
    .sort(([run], [other]) => run - other)
    .slice(-Math.max(1, Math.floor(maxBytes / entryBytes)))
    .map(([run, flags]) => [run, encodeFlags(flags)]);
}
