import type { EntryContext } from "./entry_context.ts";

/** Drops the senders of endpoints that are gone or were changed; what they have in flight still ends. */
export function dropOldSenders(context: EntryContext): void {
  const { endpoints } = context.state.version.configuration;
  for (const [id, { configured, sender }] of context.senders) {
    const now = endpoints[id];
    const isSame = now?.url === configured.url &&
      now.slots === configured.slots &&
      now.connections === configured.connections;
    if (isSame) continue;
    context.senders.delete(id);
    sender.close();
  }
}
