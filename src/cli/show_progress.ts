import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Time before the progress line is shown first, and the interval at which it is updated, in ms. */
const UPDATE_INTERVAL_MS = 1_000;

/** Shows a line with the elapsed time on standard error, if it is a terminal, during a long operation. The returned callback removes the line. */
export function showProgress(text: string): () => void {
  if (!process.stderr.isTTY) return () => {};
  const startedAtMs = readMonotonicMs();
  const timer = setInterval(() => {
    const seconds = Math.round((readMonotonicMs() - startedAtMs) / 1_000);
    process.stderr.write(`\r${text} (${seconds} s)`);
  }, UPDATE_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    process.stderr.write("\r\u001b[K");
  };
}
