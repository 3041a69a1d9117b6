import { loadPackageDefinition } from "@grpc/grpc-js";
import type { GrpcObject, ServiceClientConstructor } from "@grpc/grpc-js";
import { fromJSON } from "@grpc/proto-loader";
import descriptor from "./generated/peer_descriptor.json" with { type: "json" };

/** Loads the definitions of the gRPC services of entries and control daemons. */
export function loadPeerServices(): {
  entry: ServiceClientConstructor;
  control: ServiceClientConstructor;
} {
  const definition = fromJSON(
    descriptor as Parameters<typeof fromJSON>[0],
    { longs: Number, enums: String, defaults: true, arrays: true },
  );
  const root = loadPackageDefinition(definition).chivegrade as GrpcObject;
  return {
    entry: root.Entry as ServiceClientConstructor,
    control: root.Control as ServiceClientConstructor,
  };
}
