/** Creates the key of a job: submission ids are unique only within a client. */
export function createJobKey(client: string, submissionId: string): string {
  return `${client}/${submissionId}`;
}
