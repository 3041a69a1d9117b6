import type { ClientDuplexStream } from "@grpc/grpc-js";
import { credentials, makeClientConstructor } from "@grpc/grpc-js";
import { match } from "ts-pattern";
import { waitMs } from "../utils/wait_ms.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { LINK_SERVICE } from "./link_service.ts";
import { createMessageBatcher } from "./create_message_batcher.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerMessage } from "./scheduler_message.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { VmMessage } from "./vm_message.ts";
import type { SchedulerLink } from "./scheduler_link.ts";
import type { Ticker } from "./ticker.ts";
import type { VmReport } from "./vm_report.ts";

/** Interval between two reports to the scheduler, in ms: three fit into the time after which the scheduler treats this VM as lost. */
const REPORT_INTERVAL_MS = 200;
/** A scheduler that sends nothing for this long is treated as lost, in ms; several heartbeat intervals. */
const SCHEDULER_TIMEOUT_MS = 350;
/** Another group's scheduler that sends nothing for this long is treated as lost, in ms; heartbeats over guest links are less frequent. */
const GUEST_SCHEDULER_TIMEOUT_MS = 600;
/** A scheduler that has sent nothing for this long after the link was requested is slow or gone, in ms. */
const SLOW_OPEN_MS = 400;
/** Time-out for the remaining messages of a scheduler that this VM leaves, in ms. */
const LEAVE_TIMEOUT_MS = 200;
/** Interval at which the time-outs are checked, in ms. */
const POLL_INTERVAL_MS = 100;

type Stream = ClientDuplexStream<VmMessage[], SchedulerMessage[]>;

const Service = makeClientConstructor(LINK_SERVICE, "Scheduler");

/**
 * Opens a link to a scheduler in another process. Resolves when its first
 * status arrives; rejects with `closed` or `silent` as the message.
 */
export function openRemoteLink(options: {
  address: string;
  events: LinkEvents;
  ticker: Ticker;
  readReport: () => VmReport;
  /** Whether this is a guest link, to another group's scheduler. Default: false. */
  isGuest?: boolean;
  /** Time-out for the scheduler's first message, in ms. Each further attempt costs a slow scheduler another handshake. */
  openTimeoutMs: number;
  /** Called once when the scheduler is slow to open the link; the attempt goes on. */
  onSlow: () => void;
  /** Called when the open link is lost. */
  onLost: (how: "closed" | "silent") => void;
  /** Aborts the attempt to open the link, as another process is the scheduler now. */
  signal: AbortSignal;
  /** Called when the other process is not the scheduler, with the scheduler row that it knows. */
  onRedirect: (to: SchedulerRow) => void;
}): Promise<SchedulerLink> {
  const client = new Service(options.address, credentials.createInsecure(), {
    "grpc.enable_http_proxy": 0,
    "grpc.use_local_subchannel_pool": 1,
  });
  const stream = (client as unknown as { Attach(): Stream }).Attach();
  const { isGuest = false } = options;
  const timeoutMs = isGuest ? GUEST_SCHEDULER_TIMEOUT_MS : SCHEDULER_TIMEOUT_MS;
  let receivedMs = readMonotonicMs();
  let isOpen = false;
  let isSlow = false;
  let isClosed = false;
  let resolveLeft = () => {};
  const left = new Promise<void>((resolve) => {
    resolveLeft = resolve;
  });

  function close(): void {
    if (isClosed) return;
    isClosed = true;
    stopReports();
    stopPoll();
    stream.cancel();
    client.close();
  }

  const send = createMessageBatcher<VmMessage>((messages) => {
    if (!isClosed) stream.write(messages);
  });

  function sendReport(): void {
    send({ type: "report", report: options.readReport() });
  }

  const stopReports = options.ticker.every(REPORT_INTERVAL_MS, sendReport);
  let stopPoll = () => {};
  sendReport();

  return new Promise((resolve, reject) => {
    function failLink(how: "closed" | "silent"): void {
      if (isClosed) return;
      close();
      if (isOpen) options.onLost(how);
      else reject(new Error(how));
    }

    function reviewSilence(): void {
      const silentMs = readMonotonicMs() - receivedMs;
      const limitMs = isOpen ? timeoutMs : options.openTimeoutMs;
      if (silentMs > limitMs) failLink("silent");
      else if (!isOpen && !isSlow && silentMs > SLOW_OPEN_MS) {
        isSlow = true;
        options.onSlow();
      }
    }

    // setImmediate lets messages that arrived while this process was busy be read first.
    stopPoll = options.ticker.every(
      POLL_INTERVAL_MS,
      () => setImmediate(reviewSilence),
    );

    function handleMessage(message: SchedulerMessage): void {
      if (isClosed) return;
      if (message.type === "status" && !isOpen) {
        isOpen = true;
        resolve({
          epoch: message.status.epoch,
          isSolo: false,
          submit: (order, progress) =>
            send({ type: "submit", order, progress }),
          leave: () => {
            send({ type: "leave" });
            return Promise.race([left, waitMs(LEAVE_TIMEOUT_MS)]);
          },
          abandon: (jobId, reason) => send({ type: "abandon", jobId, reason }),
          close,
        });
      }
      if (message.type === "redirect") {
        options.onRedirect(message.to);
        return;
      }
      if (message.type === "left") resolveLeft();
      dispatchMessage(message, options.events);
    }

    stream.on("data", (messages: SchedulerMessage[]) => {
      receivedMs = readMonotonicMs();
      for (const message of messages) handleMessage(message);
    });
    options.signal.addEventListener("abort", () => {
      if (!isOpen) failLink("silent");
    });
    stream.on("error", () => failLink("closed"));
    stream.on("end", () => failLink("closed"));
  });
}

function dispatchMessage(
  message: Exclude<SchedulerMessage, { type: "redirect" }>,
  events: LinkEvents,
): void {
  match(message)
    .with({ type: "status" }, ({ status }) => events.status(status))
    .with(
      { type: "placed" },
      ({ task, endpointId }) => events.placed(task, endpointId),
    )
    .with({ type: "done" }, ({ task }) => events.done(task))
    .with(
      { type: "ended" },
      ({ jobId, outcome }) => events.ended(jobId, outcome),
    )
    .with({ type: "passed" }, ({ jobId, group }) => events.passed(jobId, group))
    .with(
      { type: "resignation" },
      ({ reason }) => events.resignation(reason),
    )
    .with({ type: "left" }, () => events.left())
    .exhaustive();
}
