import type { ViewMessage } from "../peer/view_message.ts";
import type { ControlContext } from "./control_context.ts";

/** Sends a message with changes to all subscribed entries. */
export function sendView(context: ControlContext, message: ViewMessage): void {
  for (const send of context.watchers.values()) send(message);
}
