import { credentials } from "@grpc/grpc-js";
import type { Client, ServiceClientConstructor } from "@grpc/grpc-js";

const MOST_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Longest pause between attempts to reach a peer again, in ms. */
const MOST_RECONNECT_MS = 1_000;

/** Keeps one gRPC client an address. */
export function createPeerPool(service: ServiceClientConstructor): {
  find(address: string): Client;
  close(): void;
} {
  const clients = new Map<string, Client>();
  function createClient(address: string): Client {
    return new service(address, credentials.createInsecure(), {
      "grpc.max_receive_message_length": MOST_MESSAGE_BYTES,
      "grpc.max_reconnect_backoff_ms": MOST_RECONNECT_MS,
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
