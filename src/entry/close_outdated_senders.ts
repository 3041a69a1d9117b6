import type { EntryContext } from "./entry_context.ts";

/** Closes the senders of endpoints that were removed or changed; their requests in flight still complete. */
export function closeOutdatedSenders(context: EntryContext): void {
  const { endpoints } = context.state.version.configuration;
  for (const [id, { configured, sender }] of context.senders) {
    const current = endpoints[id];
    const isUnchanged = current?.url === configured.url &&
      current.slots === configured.slots &&
      current.connections === configured.connections;
    if (isUnchanged) continue;
    context.senders.delete(id);
    sender.close();
  }
}
