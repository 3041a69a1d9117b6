/** Turns anything thrown into an Error. */
export function readError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
