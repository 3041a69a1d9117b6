import { Server, ServerCredentials } from "@grpc/grpc-js";
import type {
  ServiceDefinition,
  UntypedServiceImplementation,
} from "@grpc/grpc-js";
import { ChivegradeError } from "../errors/chivegrade_error.ts";

/** Largest message that the server accepts, in bytes. */
const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/**
 * Starts a gRPC server and returns the port on which it listens. Rejects with
 * `addressInUse` when it can't listen on the address.
 */
export function startPeerServer(
  address: string,
  service: ServiceDefinition,
  handlers: UntypedServiceImplementation,
): Promise<{ port: number; stop(): Promise<void> }> {
  const server = new Server({
    "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
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

/** Time for open calls to finish before a stopping server aborts them, in ms. */
const STOP_TIMEOUT_MS = 1_000;

function stopServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => server.forceShutdown(), STOP_TIMEOUT_MS);
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
