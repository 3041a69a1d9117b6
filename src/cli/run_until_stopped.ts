/**
 * Calls `stop` at the first SIGTERM or SIGINT, or when the returned function is
 * called, and then exits with 0, or with 1 when `stop` rejects.
 */
export function runUntilStopped(stop: () => Promise<void>): () => void {
  let isStopping = false;
  function requestStop(): void {
    if (isStopping) {
      process.stderr.write(
        "chivegrade: already stopping; requests in flight are still finishing\n",
      );
      return;
    }
    isStopping = true;
    stop().then(() => process.exit(0), (error) => {
      process.stderr.write(`chivegrade: the stop failed: ${error.message}\n`);
      process.exit(1);
    });
  }
  process.on("SIGTERM", requestStop);
  process.on("SIGINT", requestStop);
  return requestStop;
}
