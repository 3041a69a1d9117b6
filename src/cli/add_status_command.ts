import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { finishCommand } from "./finish_command.ts";
import { requireOption } from "./require_option.ts";

type StatusOptions = { url?: string; token?: string; json?: boolean };

/** Adds `chivegrade status`: shows the state of an entry or of a control daemon. */
export function addStatusCommand(cli: CAC): void {
  cli.command("status", "Show the state of an entry or of a control daemon")
    .option("--url <url>", "Base URL of the process")
    .option("--token <token>", "Operator token; default: CHIVEGRADE_TOKEN")
    .option("--json", "Print JSON")
    .example("  chivegrade status --url http://10.0.0.7:7400")
    .action(async (options: StatusOptions) => {
      const url = requireOption(options.url, "url");
      const reply = await callHttp(`${url}/status`, {
        method: "GET",
        token: options.token,
      });
      finishCommand(reply, { json: options.json });
    });
}
