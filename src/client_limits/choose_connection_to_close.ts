import type { ClientConnection } from "./client_connection.ts";

/** Chooses the connection that has made no progress for longest, of those that do not wait for this process; undefined if there is none. */
export function chooseConnectionToClose(
  connections: Iterable<ClientConnection>,
): ClientConnection | undefined {
  let chosen: ClientConnection | undefined;
  for (const connection of connections) {
    if (connection.isServed) continue;
    if (chosen && chosen.progressMs <= connection.progressMs) continue;
    chosen = connection;
  }
  return chosen;
}
