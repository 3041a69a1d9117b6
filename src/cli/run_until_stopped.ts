/** Keeps a role running until SIGTERM or SIGINT, then stops it gracefully and exits 0. */
export function runUntilStopped(stop: () => Promise<void>): () => void {
  let stopping = false;
  function begin(): void {
    if (stopping) {
      process.stderr.write(
        "chivegrade: already stopping; requests in flight are still finishing\n",
      );
      return;
    }
    stopping = true;
    stop().then(() => process.exit(0), (error) => {
      process.stderr.write(`chivegrade: the stop failed: ${error.message}\n`);
      process.exit(1);
    });
  }
  process.on("SIGTERM", begin);
  process.on("SIGINT", begin);
  return begin;
}
