/** Parses a job key, `client/submissionId`, into its two parts. */
export function parseJobKey(
  key: string,
): { client: string; submissionId: string } {
  const separator = key.indexOf("/");
  return {
    client: key.slice(0, separator),
    submissionId: key.slice(separator + 1),
  };
}
