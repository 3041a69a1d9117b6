import type { CAC } from "cac";
import { checkAddressesFree } from "../settings/check_addresses_free.ts";
import { loadSettings } from "../settings/load_settings.ts";
import { printResult } from "./print_result.ts";

/** Adds `chivegrade check`: checks a settings file without starting anything. */
export function addCheckCommand(cli: CAC): void {
  cli.command("check <settings>", "Check a settings file")
    .option("--ports", "Also check that the addresses are free on this machine")
    .option("--json", "Print JSON")
    .example("  chivegrade check entry.toml --ports")
    .action(
      async (file: string, options: { ports?: boolean; json?: boolean }) => {
        const settings = loadSettings(file);
        if (options.ports) await checkAddressesFree(settings, file);
        printResult({ file, role: settings.role, valid: true }, {
          json: options.json,
          text: `${file}: valid settings for role '${settings.role}'`,
        });
      },
    );
}
