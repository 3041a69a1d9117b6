const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Reads the creation time of a submission id that is a UUIDv7, in Unix ms;
 * undefined for any other id.
 */
export function readIdTime(submissionId: string): number | undefined {
  const match = UUID_V7.exec(submissionId);
  return match ? parseInt(match[1] + match[2], 16) : undefined;
}
