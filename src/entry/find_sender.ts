import type { EndpointSender } from "../endpoint/endpoint_sender.ts";
import type { EntryContext } from "./entry_context.ts";

/** Finds or creates the sender of an endpoint; undefined when the endpoint is not configured. */
export function findSender(
  context: EntryContext,
  endpointId: string,
): EndpointSender | undefined {
  const known = context.senders.get(endpointId);
  if (known) return known.sender;
  const configured = context.state.version.configuration.endpoints[endpointId];
  if (!configured) return undefined;
  const sender = context.createSender(configured);
  context.senders.set(endpointId, { configured, sender });
  return sender;
}
