import type { ServiceDefinition } from "@grpc/grpc-js";
import type { SchedulerMessage } from "./scheduler_message.ts";
import type { VmMessage } from "./vm_message.ts";

function encodeMessage(message: unknown): Buffer {
  return Buffer.from(JSON.stringify(message));
}

function decodeMessage<Message>(bytes: Buffer): Message {
  return JSON.parse(bytes.toString("utf8")) as Message;
}

/**
 * The gRPC service of a scheduler. Its messages are JSON, which is faster to
 * load and to parse here than reflected protobuf.
 */
export const LINK_SERVICE = {
  Attach: {
    path: "/chivegrade.Scheduler/Attach",
    requestStream: true,
    responseStream: true,
    requestSerialize: (message: VmMessage) => encodeMessage(message),
    requestDeserialize: (bytes: Buffer) => decodeMessage<VmMessage>(bytes),
    responseSerialize: (message: SchedulerMessage) => encodeMessage(message),
    responseDeserialize: (bytes: Buffer) =>
      decodeMessage<SchedulerMessage>(bytes),
  },
} satisfies ServiceDefinition;
