import { credentials } from "@grpc/grpc-js";
import type {
  Client,
  ClientReadableStream,
  ServiceClientConstructor,
} from "@grpc/grpc-js";
import type { ViewMessage } from "../peer/view_message.ts";
import { applyView } from "./apply_view.ts";
import type { EntryContext } from "./entry_context.ts";

/** Pause before the stream from the control daemon is opened again, in ms. */
const RECONNECT_DELAY_MS = 300;

type WatchClient = Client & {
  watchView(request: { entry: string }): ClientReadableStream<ViewMessage>;
};

/**
 * Subscribes to the ownership view and configuration of the VM's control
 * daemon and reconnects when the stream ends; until then the last received
 * view stays in use. Returns a callback that ends the subscription.
 */
export function watchView(
  context: EntryContext,
  service: ServiceClientConstructor,
): () => void {
  const { controlAddress } = context.settings;
  const client = new service(controlAddress, credentials.createInsecure(), {
    "grpc.max_reconnect_backoff_ms": RECONNECT_DELAY_MS,
    "grpc.initial_reconnect_backoff_ms": RECONNECT_DELAY_MS,
    "grpc.max_receive_message_length": -1,
    "grpc.enable_http_proxy": 0,
  }) as unknown as WatchClient;
  let closed = false;

  function openStream(): void {
    if (closed) return;
    const stream = client.watchView({ entry: context.name });
    let ended = false;
    stream.on("data", (message) => applyView(context, message));
    const scheduleReconnect = () => {
      if (ended) return;
      ended = true;
      context.logger.debug("viewLost", { address: controlAddress });
      setTimeout(openStream, RECONNECT_DELAY_MS);
    };
    stream.on("error", scheduleReconnect);
    stream.on("end", scheduleReconnect);
  }

  openStream();
  return () => {
    closed = true;
    client.close();
  };
}
