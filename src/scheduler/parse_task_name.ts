/** Reads the job's id and the step out of a task's name. */
export function parseTaskName(
  name: string,
): { jobId: string; step: number } | undefined {
  const [jobId, , step, index] = name.split(".");
  if (index === undefined) return undefined;
  return { jobId, step: Number(step) };
}
