/** Waits for a time, in ms, on the runtime's clock. */
export function waitMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
