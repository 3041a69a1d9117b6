import type { Logger } from "../../src/log/logger.ts";

/** Logger that writes nothing unless the environment variable CHIVEGRADE_FUZZ_LOG is set; then it writes to stdout. */
export const silentLogger: Logger = {
  debug: write,
  info: write,
  warn: write,
  error: write,
};

function write(event: string, fields?: object): void {
  if (!process.env.CHIVEGRADE_FUZZ_LOG) return;
  console.log(Date.now() % 1_000_000, event, JSON.stringify(fields ?? {}));
}
