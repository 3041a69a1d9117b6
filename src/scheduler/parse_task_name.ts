/** Parses the job's id and the step's index from a task's name; undefined when the name is malformed. */
export function parseTaskName(
  name: string,
): { jobId: string; step: number } | undefined {
  const [jobId, , step, index] = name.split(".");
  if (index === undefined) return undefined;
  return { jobId, step: Number(step) };
}
