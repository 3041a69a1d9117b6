import { encodeFlags } from "./encode_flags.ts";

/** Encodes run numbers of a job's tasks: each number with the tasks that have it. Tasks that are started equally often have equal run numbers, so there are few entries. */
export function encodeRuns(runsOfTasks: number[][]): [number, string][] {
  const flagsByRun = new Map<number, boolean[]>();
  runsOfTasks.forEach((runs, index) => {
    for (const run of runs) {
      const flags = flagsByRun.get(run) ?? runsOfTasks.map(() => false);
      flags[index] = true;
      flagsByRun.set(run, flags);
    }
  });
  return [...flagsByRun].map(([run, flags]) => [run, encodeFlags(flags)]);
}
