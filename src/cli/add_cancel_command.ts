import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { printResult } from "./print_result.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { requireOption } from "./require_option.ts";

type CancelOptions = {
  entry?: string;
  client?: string;
  token?: string;
  json?: boolean;
};

/** Adds `chivegrade cancel`: cancels a job. Exits with 1 when the job ended in another way. */
export function addCancelCommand(cli: CAC): void {
  cli.command("cancel <id>", "Cancel a job")
    .option("--entry <url>", "Base URL of an entry or of the load balancer")
    .option("--client <name>", "The client of the job")
    .option("--token <token>", "Client token; default: CHIVEGRADE_TOKEN")
    .option("--json", "Print JSON")
    .example(
      "  chivegrade cancel order-17 --entry http://10.0.0.7:7400 --client studio",
    )
    .action(async (id: string, options: CancelOptions) => {
      const entry = requireOption(options.entry, "entry");
      const client = requireOption(options.client, "client");
      const reply = await callHttp(`${entry}/v1/jobs/${client}/${id}`, {
        method: "DELETE",
        token: options.token,
      });
      const failure = reply.body.failure as { kind?: string } | undefined;
      const cancelled = failure?.kind === "cancelled";
      printResult(reply.body, {
        json: options.json,
        text: cancelled ? `${id}: cancelled` : JSON.stringify(reply.body),
      });
      process.exitCode = cancelled ? EXIT_CODE.done : EXIT_CODE.failed;
    });
}
