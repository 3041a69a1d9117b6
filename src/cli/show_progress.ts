import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
/** Silence after which a progress line is shown, and its period, in ms. */
const PERIOD_MS = 1_000;

/** Shows a progress line on a terminal while something takes long; returns how to end it. */
export function showProgress(text: string): () => void {
  if (!process.stderr.isTTY) return () => {};
  const startedAtMs = readMonotonicMs();
  const timer = setInterval(() => {
    const seconds = Math.round((readMonotonicMs() - startedAtMs) / 1_000);
    process.stderr.write(`\r${text} (${seconds} s)`);
  }, PERIOD_MS);
  return () => {
    clearInterval(timer);
    process.stderr.write("\r\u001b[K");
  };
}
