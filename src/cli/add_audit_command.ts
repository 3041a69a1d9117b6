import type { CAC } from "cac";
import { callHttp } from "./call_http.ts";
import { EXIT_CODE } from "./exit_code.ts";
import { finishCommand } from "./finish_command.ts";
import { requireOption } from "./require_option.ts";

type AuditOptions = { control?: string; token?: string; json?: boolean };
type AuditedVersion = {
  version: number;
  author: string;
  patchId: string;
  patch: unknown;
  forced: boolean;
  acceptedAtMs: number;
  digest: string;
  intact: boolean;
};

/** Adds `chivegrade audit`: lists the versions with their authors and patches, and checks the chain of digests. Exits with 1 when a record was altered. */
export function addAuditCommand(cli: CAC): void {
  cli.command(
    "audit",
    "Show who changed the configuration and how, and check the audit trail",
  )
    .option("--control <url>", "Base URL of a control daemon")
    .option("--token <token>", "Operator token; default: CHIVEGRADE_TOKEN")
    .option("--json", "Print JSON")
    .example("  chivegrade audit --control http://10.0.0.7:7500")
    .action(async (options: AuditOptions) => {
      const control = requireOption(options.control, "control");
      const reply = await callHttp(`${control}/versions`, {
        method: "GET",
        token: options.token,
      });
      const versions = (reply.body.versions ?? []) as AuditedVersion[];
      const text = versions.map(formatVersion).join("\n");
      finishCommand(reply, { json: options.json, text });
      if (versions.some((version) => !version.intact)) {
        process.exitCode = EXIT_CODE.failed;
      }
    });
}

function formatVersion(version: AuditedVersion): string {
  const at = new Date(version.acceptedAtMs).toISOString();
  const forced = version.forced ? ", forced" : "";
  const state = version.intact ? "intact" : "BROKEN: a record was altered";
  return [
    `version ${version.version} at ${at} by ${version.author}${forced}`,
    `  patch '${version.patchId}': ${JSON.stringify(version.patch)}`,
    `  digest ${version.digest} (${state})`,
  ].join("\n");
}
