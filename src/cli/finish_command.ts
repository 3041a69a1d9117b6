import { EXIT_CODE } from "./exit_code.ts";
import { printResult } from "./print_result.ts";

/** Prints a reply and sets the exit code: `done` for a 2xx status, otherwise `failed`. `text` is printed only for a 2xx status and without `json`. */
export function finishCommand(
  reply: { status: number; body: Record<string, unknown> },
  options: { json?: boolean; text?: string },
): void {
  const succeeded = reply.status >= 200 && reply.status < 300;
  const text = options.text !== undefined && succeeded
    ? options.text
    : JSON.stringify(reply.body, null, 2);
  printResult(reply.body, { json: options.json, text });
  process.exitCode = succeeded ? EXIT_CODE.done : EXIT_CODE.failed;
}
