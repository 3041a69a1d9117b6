import type { ViewMessage } from "../peer/view_message.ts";
import type { ControlContext } from "./control_context.ts";

/** Creates the first message to an entry that subscribes, with the configuration and all rows. */
export function createView(context: ControlContext): ViewMessage {
  const { configuration } = context;
  return {
    version: context.version,
    configuration: configuration ? JSON.stringify(configuration) : "",
    leases: [...context.leases.values()],
    shards: [...context.shards.values()],
    leavingAddresses: context.leavingAddresses,
  };
}
