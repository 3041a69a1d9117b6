import type { CAC } from "cac";
import { startControl } from "../control/start_control.ts";
import { loadRoleSettings } from "./load_role_settings.ts";
import { runUntilStopped } from "./run_until_stopped.ts";

/** Adds `chivegrade control`: runs the control daemon of a VM until SIGTERM or SIGINT. */
export function addControlCommand(cli: CAC): void {
  cli.command("control <settings>", "Run the control daemon of this VM")
    .example("  chivegrade control /etc/chivegrade/control.toml")
    .action(async (file: string) => {
      const settings = loadRoleSettings(file, "control");
      const handle = await startControl(settings);
      runUntilStopped(() => handle.stop());
      process.stdout.write(
        JSON.stringify({ ready: handle.url, name: handle.peerAddress }) + "\n",
      );
    });
}
