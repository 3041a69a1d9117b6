import { Server, ServerCredentials } from "@grpc/grpc-js";
import type {
  ServiceDefinition,
  UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Largest message between processes, in bytes. */
const MOST_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Starts a gRPC server; tells the port it listens on. */
export function startPeerServer(
  address: string,
  service: ServiceDefinition,
  handlers: UntypedServiceImplementation,
): Promise<{ port: number; stop(): Promise<void> }> {
  const server = new Server({
    "grpc.max_receive_message_length": MOST_MESSAGE_BYTES,
    "grpc.so_reuseport": 0,
  });
  server.addService(service, handlers);
  return new Promise((resolve, reject) => {
    server.bindAsync(
      address,
      ServerCredentials.createInsecure(),
      (error, port) => {
        if (error) reject(createBindError(address, error));
        else resolve({ port, stop: () => stopServer(server) });
      },
    );
  });
}

/** How long open calls get to finish when a server stops, in ms. */
const STOP_MS = 1_000;

function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.forceShutdown(), STOP_MS);
    server.tryShutdown(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}

function createBindError(address: string, cause: Error): ChivegradeError {
  return new ChivegradeError("addressInUse", {
    found: `peerAddress ${address} can't be listened on`,
    remedy: "Stop the process that uses it or choose another port",
    cause,
  });
}
