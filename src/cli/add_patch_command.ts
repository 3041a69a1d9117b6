import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { finishCommand } from "./finish_command.ts";
import { formatChanges } from "./format_changes.ts";
import { readJsonFile } from "./read_json_file.ts";
import { requireOption } from "./require_option.ts";

type PatchOptions = {
  control?: string;
  base?: number;
  id?: string;
  token?: string;
  dryRun?: boolean;
  force?: boolean;
  json?: boolean;
};

/** Adds `chivegrade patch`: submits a JSON merge patch of the configuration. */
export function addPatchCommand(cli: CAC): void {
  cli.command("patch <file>", "Submit a JSON merge patch of the configuration")
    .option("--control <url>", "Base URL of a control daemon")
    .option(
      "--base <version>",
      "The configuration version that the patch applies to",
    )
    .option(
      "--id <id>",
      "Id of the patch; use the same id to repeat a patch whose reply was lost",
    )
    .option("--token <token>", "Operator token; default: CHIVEGRADE_TOKEN")
    .option("--dry-run", "Only show what would change")
    .option(
      "--force",
      "Apply the patch even if it leaves a service without endpoints",
    )
    .option("--json", "Print JSON")
    .example(
      "  chivegrade patch add-press.json --control http://10.0.0.7:7500 --base 12 --id add-press",
    )
    .action(async (file: string, options: PatchOptions) => {
      const control = requireOption(options.control, "control");
      const reply = await callHttp(`${control}/patches`, {
        method: "POST",
        token: options.token,
        body: {
          base: Number(
            requireOption(options.base as unknown as string, "base"),
          ),
          patchId: requireOption(options.id, "id"),
          patch: readJsonFile(file),
          dryRun: options.dryRun ?? false,
          force: options.force ?? false,
        },
      });
      finishCommand(reply, {
        json: options.json,
        text: formatChanges(reply.body),
      });
    });
}
