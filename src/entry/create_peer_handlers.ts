import type {
  sendUnaryData,
  ServerUnaryCall,
  UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { AnswerMessage } from "../peer/answer_message.ts";
import type { PeerCall } from "../peer/peer_call.ts";
import type { EntryContext } from "./entry_context.ts";
import { handlePeerCall } from "./handle_peer_call.ts";

/** Creates the handlers of the gRPC service that an entry provides to other entries. */
export function createPeerHandlers(
  context: EntryContext,
): UntypedServiceImplementation {
  return {
    submitJob: createHandler(context, "SubmitJob"),
    lookUpJob: createHandler(context, "LookUpJob"),
    cancelJob: createHandler(context, "CancelJob"),
  };
}

function createHandler(context: EntryContext, method: PeerCall["method"]) {
  return (
    call: ServerUnaryCall<object, AnswerMessage>,
    done: sendUnaryData<AnswerMessage>,
  ) => {
    handlePeerCall(context, { method, request: call.request }).then(
      (reply) => done(null, reply),
      (error) => done(error),
    );
  };
}
