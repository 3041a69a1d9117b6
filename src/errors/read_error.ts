/** Returns a thrown value as an Error; a value that is not an Error becomes its message. */
export function readError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
