import { credentials } from "@grpc/grpc-js";
import type { Client, ServiceClientConstructor } from "@grpc/grpc-js";

/** Largest message from a peer, in bytes. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Longest backoff between attempts to reconnect to a peer, in ms. */
const MAX_RECONNECT_BACKOFF_MS = 1_000;

/** Creates a pool with one gRPC client per peer address; `find` creates a missing client. */
export function createPeerPool(service: ServiceClientConstructor): {
  find(address: string): Client;
  close(): void;
} {
  const clients = new Map<string, Client>();
  function createClient(address: string): Client {
    return new service(address, credentials.createInsecure(), {
      "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
      "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_BACKOFF_MS,
      "grpc.initial_reconnect_backoff_ms": 100,
      "grpc.enable_http_proxy": 0,
    });
  }
  return {
    find: (address) => {
      const client = clients.get(address) ?? createClient(address);
      clients.set(address, client);
      return client;
    },
    close: () => {
      for (const client of clients.values()) client.close();
    },
  };
}
