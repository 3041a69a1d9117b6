/** Formats the name of a task, `job.occurrence.step.index`; the occurrence is always 0, as jobs do not recur. */
export function formatTaskName(
  jobId: string,
  step: number,
  index: number,
): string {
  return `${jobId}.0.${step}.${index}`;
}
