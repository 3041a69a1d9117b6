import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { finishCommand } from "./finish_command.ts";
import { requireOption } from "./require_option.ts";

type VersionsOptions = { control?: string; token?: string; json?: boolean };

/** Adds `chivegrade versions`: lists the versions of the configuration. */
export function addVersionsCommand(cli: CAC): void {
  cli.command("versions", "List the versions of the configuration")
    .option("--control <url>", "Base URL of a control daemon")
    .option("--token <token>", "Operator token; default: CHIVEGRADE_TOKEN")
    .option("--json", "Print JSON")
    .example("  chivegrade versions --control http://10.0.0.7:7500")
    .action(async (options: VersionsOptions) => {
      const control = requireOption(options.control, "control");
      const reply = await callHttp(`${control}/versions`, {
        method: "GET",
        token: options.token,
      });
      finishCommand(reply, {
        json: options.json,
        text: formatVersions(reply.body),
      });
    });
}

function formatVersions(body: Record<string, unknown>): string {
  const versions = (body.versions ?? []) as {
    version: number;
    author: string;
    patchId: string;
    acceptedAtMs: number;
  }[];
  return versions
    .map(({ version, author, patchId, acceptedAtMs }) =>
      `${version}  ${
        new Date(acceptedAtMs).toISOString()
      }  ${author}  ${patchId}`
    )
    .join("\n");
}
