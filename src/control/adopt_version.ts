import type { Configuration } from "../config/configuration.ts";
import type { ControlContext } from "./control_context.ts";
import { sendView } from "./send_view.ts";

/** Takes over a higher version and passes it to the VM's entries; a lower one changes nothing. */
export function takeVersion(
  context: ControlContext,
  version: number,
  configuration: Configuration,
): boolean {
  if (version <= context.version) return false;
  context.version = version;
  context.configuration = configuration;
  context.logger.info("versionTaken", { version });
  sendView(context, {
    version,
    configuration: JSON.stringify(configuration),
    leases: [],
    shards: [],
    leavingAddresses: context.leavingAddresses,
  });
  return true;
}
