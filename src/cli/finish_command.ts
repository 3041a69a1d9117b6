import { EXIT_CODE } from "./exit_code.ts";
import { printResult } from "./print_result.ts";

/** Prints a reply and sets the exit code by its HTTP status. */
export function finishCommand(
  reply: { status: number; body: Record<string, unknown> },
  options: { json?: boolean; text?: string },
): void {
  const done = reply.status >= 200 && reply.status < 300;
  const text = options.text !== undefined && done
    ? options.text
    : JSON.stringify(reply.body, null, 2);
  printResult(reply.body, { json: options.json, text });
  process.exitCode = done ? EXIT_CODE.done : EXIT_CODE.failed;
}
