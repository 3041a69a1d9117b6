import type { CAC } from "cac";
import { readError } from "../errors/read_error.ts";
import { EXIT_CODE } from "./exit_code.ts";

/** Runs the command given in `argv`. Prints errors on standard error and sets the exit code. */
export async function runCli(cli: CAC, argv: string[]): Promise<void> {
  try {
    cli.parse(argv, { run: false });
    if (cli.options.help || cli.options.version) return;
    if (!cli.matchedCommand) {
      printUsageHint(cli.args[0]);
      return;
    }
    await cli.runMatchedCommand();
  } catch (thrown) {
    const error = readError(thrown);
    process.stderr.write(`chivegrade: ${error.message}\n`);
    const isWrongUse = error.name === "CACError";
    process.exitCode = isWrongUse ? EXIT_CODE.wrongUse : EXIT_CODE.failed;
  }
}

function printUsageHint(command: string | undefined): void {
  const found = command ? `'${command}' is no command` : "no command was given";
  process.stderr.write(
    `chivegrade: ${found}; 'chivegrade --help' lists them\n`,
  );
  process.exitCode = EXIT_CODE.wrongUse;
}
