import type { ServerDuplexStream } from "@grpc/grpc-js";
import { loadPeerServices } from "../peer/load_peer_services.ts";
import { parseSubmit } from "../peer/parse_submit.ts";
import type { SchedulerMessages } from "../peer/scheduler_messages.ts";
import { startPeerServer } from "../peer/start_peer_server.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Attachment } from "./attachment.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerHost } from "./scheduler_host.ts";

/** A linked VM that was not heard for this long is taken as lost, in ms; several of its beats. */
const SILENT_MS = 600;
/** How often linked VMs are looked after, in ms. */
const LOOK_MS = 100;
/** A link whose reader is this far behind is cut rather than buffered without end, in messages. */
const MOST_UNREAD = 5_000;

type Stream = ServerDuplexStream<
  SchedulerMessages["fromVm"],
  SchedulerMessages["toVm"]
>;

/** Serves links of other VMs while this process is the scheduler; turns them away otherwise. */
export function startLinkServer(
  address: string,
  findHost: () => SchedulerHost | undefined,
): Promise<{ port: number; stop(): Promise<void> }> {
  const { scheduler } = loadPeerServices();
  return startPeerServer(address, scheduler.service, {
    Attach: (stream: Stream) => handleLink(stream, findHost()),
  });
}

function handleLink(stream: Stream, host: SchedulerHost | undefined): void {
  if (!host) {
    stream.end();
    return;
  }
  const current = host;
  let attachment: Attachment | undefined;
  let heardMs = readMonotonicMs();
  const timer = setInterval(() => {
    const isSilent = readMonotonicMs() - heardMs > SILENT_MS;
    if (isSilent || stream.writableLength > MOST_UNREAD) finish("silent");
  }, LOOK_MS);

  function finish(how: "closed" | "silent"): void {
    clearInterval(timer);
    attachment?.lost(how);
    attachment = undefined;
    stream.end();
    if (how === "silent") stream.destroy();
  }

  stream.on("data", (message: SchedulerMessages["fromVm"]) => {
    heardMs = readMonotonicMs();
    const { status, submit, abandon, leave } = message;
    if (status) {
      attachment ??= current.attach(
        status.name,
        createEvents(stream),
      );
      attachment.report({
        name: status.name,
        address: status.address,
        dataCentre: status.dataCentre,
        isDraining: status.draining,
        isStoreReachable: status.storeReachable,
        configurationVersion: status.configurationVersion,
      });
    } else if (submit) {
      const { order, progress } = parseSubmit(submit);
      attachment?.submit(order, progress);
    } else if (abandon) attachment?.abandon(abandon.id);
    else if (leave) attachment?.leave();
  });
  stream.on("end", () => finish("closed"));
  stream.on("error", () => finish("closed"));
  stream.on("close", () => finish("closed"));
}

function createEvents(stream: Stream): LinkEvents {
  return {
    placed: (task, endpointId) =>
      stream.write({ placed: { task, endpointId } }),
    done: (task) => stream.write({ done: { task } }),
    ended: (id, outcome) => {
      const reason = outcome.type === "completed" ? "" : outcome.reason;
      const retryAfterMs = outcome.type === "refused"
        ? outcome.retryAfterMs
        : 0;
      stream.write({ ended: { id, type: outcome.type, reason, retryAfterMs } });
    },
    status: (status) => stream.write({ status }),
    left: () => stream.write({ left: {} }),
    resignation: (reason) => stream.write({ resignation: { reason } }),
  };
}
