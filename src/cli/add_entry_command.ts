import type { CAC } from "cac";
import { startEntry } from "../entry/start_entry.ts";
import { loadRoleSettings } from "./load_role_settings.ts";
import { runUntilStopped } from "./run_until_stopped.ts";

/** Adds `chivegrade entry`: runs an entry process until SIGTERM, SIGINT or a drain request. */
export function addEntryCommand(cli: CAC): void {
  cli.command("entry <settings>", "Run an entry process, which serves callers")
    .example("  chivegrade entry /etc/chivegrade/entry.toml")
    .action(async (file: string) => {
      const settings = loadRoleSettings(file, "entry");
      const started = startEntry(settings, () => requestStop());
      const requestStop = runUntilStopped(async () => (await started).stop());
      const handle = await started;
      process.stdout.write(
        JSON.stringify({ ready: handle.url, name: handle.name }) + "\n",
      );
    });
}
