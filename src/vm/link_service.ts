import type { ServiceDefinition } from "@grpc/grpc-js";
import type { SchedulerMessage } from "./scheduler_message.ts";
import type { VmMessage } from "./vm_message.ts";

function encodeMessage(messages: unknown[]): Buffer {
  return Buffer.from(JSON.stringify(messages));
}

function decodeMessage<Messages>(bytes: Buffer): Messages {
  return JSON.parse(bytes.toString("utf8")) as Messages;
}

/**
 * The gRPC service of a scheduler. Each message is a JSON list of the messages
 * of one batch: JSON is faster to load and to parse here than protobuf with
 * reflection.
 */
export const LINK_SERVICE = {
  Attach: {
    path: "/chivegrade.Scheduler/Attach",
    requestStream: true,
    responseStream: true,
    requestSerialize: (messages: VmMessage[]) => encodeMessage(messages),
    requestDeserialize: (bytes: Buffer) => decodeMessage<VmMessage[]>(bytes),
    responseSerialize: (messages: SchedulerMessage[]) =>
      encodeMessage(messages),
    responseDeserialize: (bytes: Buffer) =>
      decodeMessage<SchedulerMessage[]>(bytes),
  },
} satisfies ServiceDefinition;
