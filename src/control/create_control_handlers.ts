import type {
  sendUnaryData,
  ServerUnaryCall,
  ServerWritableStream,
  UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { ViewMessage } from "../peer/view_message.ts";
import type { ControlContext } from "./control_context.ts";
import { createView } from "./create_view.ts";

type VersionReply = { version: number; configuration: string };

/** Creates the handlers of the gRPC service that a control daemon provides to entries and other daemons. */
export function createControlHandlers(
  context: ControlContext,
): UntypedServiceImplementation {
  return {
    watchView: (
      stream: ServerWritableStream<{ entry: string }, ViewMessage>,
    ) => {
      const { entry } = stream.request;
      const send = (message: ViewMessage) => stream.write(message);
      context.watchers.set(entry, send);
      send(createView(context));
      const removeWatcher = () => {
        if (context.watchers.get(entry) === send) {
          context.watchers.delete(entry);
        }
      };
      stream.on("cancelled", removeWatcher);
      stream.on("close", removeWatcher);
    },
    readVersion: (
      call: ServerUnaryCall<{ knownVersion: number }, VersionReply>,
      done: sendUnaryData<VersionReply>,
    ) => {
      const { version, configuration } = context;
      const isNewer = version > call.request.knownVersion;
      done(
        null,
        isNewer
          ? { version, configuration: JSON.stringify(configuration) }
          : { version: 0, configuration: "" },
      );
    },
  };
}
