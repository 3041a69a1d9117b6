import type { Configuration } from "../config/configuration.ts";
import type { ControlContext } from "./control_context.ts";
import { sendView } from "./send_view.ts";

/**
 * Makes a higher configuration version the current one and sends it to the
 * subscribed entries. Returns false, without a change, when the version is not
 * higher than the current one.
 */
export function adoptVersion(
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
