import { match } from "ts-pattern";
import type { ServerDuplexStream } from "@grpc/grpc-js";
import { startPeerServer } from "../peer/start_peer_server.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Attachment } from "./attachment.ts";
import { LINK_SERVICE } from "./link_service.ts";
import { createMessageBatcher } from "./create_message_batcher.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerMessage } from "./scheduler_message.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { VmMessage } from "./vm_message.ts";
import type { SchedulerHost } from "./scheduler_host.ts";

/** A linked VM that sends nothing for this long is treated as lost, in ms; several report intervals. */
const VM_TIMEOUT_MS = 600;
/** Interval at which the time-out is checked, in ms. */
const POLL_INTERVAL_MS = 100;
/** A link with more unread messages than this is closed, which bounds its buffer. */
const MAX_UNREAD_MESSAGES = 5_000;

type Stream = ServerDuplexStream<VmMessage[], SchedulerMessage[]>;

/** Starts the server that accepts links of other VMs while a scheduler runs in this process; otherwise it redirects them to the role holder that this process knows. */
export function startLinkServer(
  address: string,
  findHost: () => SchedulerHost | undefined,
  /** The scheduler row that this process knows. */
  findRow: () => SchedulerRow | undefined,
): Promise<{ port: number; stop(): Promise<void> }> {
  return startPeerServer(address, LINK_SERVICE, {
    Attach: (stream: Stream) => handleLink(stream, findHost(), findRow()),
  });
}

function handleLink(
  stream: Stream,
  host: SchedulerHost | undefined,
  row: SchedulerRow | undefined,
): void {
  if (!host) {
    if (row) stream.write([{ type: "redirect", to: row }]);
    stream.end();
    return;
  }
  const current = host;
  let attachment: Attachment | undefined;
  let receivedMs = readMonotonicMs();
  // setImmediate lets messages that arrived while this process was busy be read first.
  const timer = setInterval(
    () => setImmediate(reviewSilence),
    POLL_INTERVAL_MS,
  );

  function reviewSilence(): void {
    const isSilent = readMonotonicMs() - receivedMs > VM_TIMEOUT_MS;
    if (isSilent || stream.writableLength > MAX_UNREAD_MESSAGES) {
      closeLink("silent");
    }
  }

  function closeLink(how: "closed" | "silent"): void {
    clearInterval(timer);
    attachment?.handleLost(how);
    attachment = undefined;
    stream.end();
    if (how === "silent") stream.destroy();
  }

  function handleMessage(message: VmMessage): void {
    match(message)
      .with({ type: "report" }, ({ report }) => {
        attachment ??= current.attach(report.name, createEvents(stream));
        attachment.report(report);
      })
      .with(
        { type: "submit" },
        ({ order, progress }) => attachment?.submit(order, progress),
      )
      .with(
        { type: "abandon" },
        ({ jobId, reason }) => attachment?.abandon(jobId, reason),
      )
      .with({ type: "leave" }, () => attachment?.leave())
      .exhaustive();
  }

  stream.on("data", (messages: VmMessage[]) => {
    receivedMs = readMonotonicMs();
    for (const message of messages) handleMessage(message);
  });
  stream.on("end", () => closeLink("closed"));
  stream.on("error", () => closeLink("closed"));
  stream.on("close", () => closeLink("closed"));
}

function createEvents(stream: Stream): LinkEvents {
  const send = createMessageBatcher<SchedulerMessage>(
    (messages) => void stream.write(messages),
    // Only a later scheduler needs these messages, and gets them much later, with a resubmitted job.
    ({ type }) => type === "placed" || type === "done",
  );
  return {
    placed: (task, endpointId) => send({ type: "placed", task, endpointId }),
    done: (task) => send({ type: "done", task }),
    ended: (jobId, outcome) => send({ type: "ended", jobId, outcome }),
    passed: (jobId, group) => send({ type: "passed", jobId, group }),
    status: (status) => send({ type: "status", status }),
    left: () => send({ type: "left" }),
    resignation: (reason) => send({ type: "resignation", reason }),
  };
}
