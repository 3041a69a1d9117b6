/** Formats the name of a task; jobs do not recur here, so the occurrence is 0. */
export function formatTaskName(
  jobId: string,
  step: number,
  index: number,
): string {
  return `${jobId}.0.${step}.${index}`;
}
