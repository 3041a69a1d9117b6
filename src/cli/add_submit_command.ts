import type { CAC } from "cac";
import { v7 as createId } from "uuid";
import { callHttp } from "./call_http.ts";
import { finishCommand } from "./finish_command.ts";
import { readJsonFile } from "./read_json_file.ts";
import { requireOption } from "./require_option.ts";
import { showProgress } from "./show_progress.ts";

type SubmitOptions = {
  entry?: string;
  client?: string;
  id?: string;
  token?: string;
  deadlineMs?: number;
  json?: boolean;
};

/** Adds `chivegrade submit`: submits a job and waits for its answer. */
export function addSubmitCommand(cli: CAC): void {
  cli.command("submit <file>", "Submit the tasks of a JSON file as one job")
    .option("--entry <url>", "Base URL of an entry or of the load balancer")
    .option("--client <name>", "The client that the job is submitted for")
    .option("--id <id>", "Id of the submission; a new id by default")
    .option("--token <token>", "Client token; default: CHIVEGRADE_TOKEN")
    .option("--deadline-ms <ms>", "Time after which the job fails, in ms")
    .option("--json", "Print JSON")
    .example(
      "  chivegrade submit tasks.json --entry http://10.0.0.7:7400 --client studio",
    )
    .action(async (file: string, options: SubmitOptions) => {
      const entry = requireOption(options.entry, "entry");
      const submissionId = options.id === undefined
        ? createId()
        : String(options.id);
      const stopProgress = showProgress(`waiting for ${submissionId}`);
      const reply = await callHttp(`${entry}/v1/jobs`, {
        method: "POST",
        token: options.token,
        body: {
          client: requireOption(options.client, "client"),
          submissionId,
          deadlineMs: options.deadlineMs,
          tasks: readJsonFile(file),
        },
      });
      stopProgress();
      finishCommand(reply, { json: options.json });
    });
}
