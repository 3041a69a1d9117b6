import { credentials } from "@grpc/grpc-js";
import type {
  Client,
  ClientReadableStream,
  ServiceClientConstructor,
} from "@grpc/grpc-js";
import type { ViewMessage } from "../peer/view_message.ts";
import { applyView } from "./apply_view.ts";
import type { EntryContext } from "./entry_context.ts";

/** Pause before the control daemon is reached again, in ms. */
const RECONNECT_MS = 300;

type WatchClient = Client & {
  watchView(request: { entry: string }): ClientReadableStream<ViewMessage>;
};

/** Follows what the VM's control daemon knows; goes on with the last of it while the daemon is away. */
export function followView(
  context: EntryContext,
  service: ServiceClientConstructor,
): () => void {
  const { controlAddress } = context.settings;
  const client = new service(controlAddress, credentials.createInsecure(), {
    "grpc.max_reconnect_backoff_ms": RECONNECT_MS,
    "grpc.initial_reconnect_backoff_ms": RECONNECT_MS,
    "grpc.max_receive_message_length": -1,
    "grpc.enable_http_proxy": 0,
  }) as unknown as WatchClient;
  let closed = false;

  function follow(): void {
    if (closed) return;
    const stream = client.watchView({ entry: context.name });
    let ended = false;
    stream.on("data", (message) => applyView(context, message));
    const retry = () => {
      if (ended) return;
      ended = true;
      context.logger.debug("viewLost", { address: controlAddress });
      setTimeout(follow, RECONNECT_MS);
    };
    stream.on("error", retry);
    stream.on("end", retry);
  }

  follow();
  return () => {
    closed = true;
    client.close();
  };
}
