import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { finishCommand } from "./finish_command.ts";
import { requireOption } from "./require_option.ts";

type JobOptions = {
  entry?: string;
  client?: string;
  token?: string;
  waitMs?: number;
  record?: boolean;
  json?: boolean;
};

/** Adds `chivegrade job`: shows the answer to a job, or the record of the attempts of its tasks. */
export function addJobCommand(cli: CAC): void {
  cli.command("job <id>", "Show a job's answer or its record")
    .option("--entry <url>", "Base URL of an entry or of the load balancer")
    .option("--client <name>", "The client of the job")
    .option("--token <token>", "Client token; default: CHIVEGRADE_TOKEN")
    .option("--wait-ms <ms>", "How long to wait for the answer, in ms", {
      default: 0,
    })
    .option(
      "--record",
      "Show the endpoints that each task was sent to, and why",
    )
    .option("--json", "Print JSON")
    .example(
      "  chivegrade job order-17 --entry http://10.0.0.7:7400 --client studio --record",
    )
    .action(async (id: string, options: JobOptions) => {
      const entry = requireOption(options.entry, "entry");
      const client = requireOption(options.client, "client");
      const path = options.record
        ? `${id}/record`
        : `${id}?waitMs=${options.waitMs}`;
      const reply = await callHttp(`${entry}/v1/jobs/${client}/${path}`, {
        method: "GET",
        token: options.token,
      });
      finishCommand(reply, { json: options.json });
    });
}
