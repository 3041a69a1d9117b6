/** Creates the key that names a submission of a client. */
export function createJobKey(client: string, submissionId: string): string {
  return `${client}/${submissionId}`;
}
