import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { finishCommand } from "./finish_command.ts";
import { requireOption } from "./require_option.ts";

type DrainOptions = { entry?: string; token?: string; json?: boolean };

/** Adds `chivegrade drain`: asks an entry to stop gracefully; does not wait until it has stopped. */
export function addDrainCommand(cli: CAC): void {
  cli.command("drain", "Stop an entry after its jobs in flight have ended")
    .option("--entry <url>", "Base URL of the entry, not of the load balancer")
    .option("--token <token>", "Operator token; default: CHIVEGRADE_TOKEN")
    .option("--json", "Print JSON")
    .example("  chivegrade drain --entry http://10.0.0.7:7400")
    .action(async (options: DrainOptions) => {
      const entry = requireOption(options.entry, "entry");
      const reply = await callHttp(`${entry}/drain`, {
        method: "POST",
        token: options.token,
      });
      finishCommand(reply, { json: options.json, text: `${entry}: stopping` });
    });
}
