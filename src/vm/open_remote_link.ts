import type { ClientDuplexStream } from "@grpc/grpc-js";
import { credentials } from "@grpc/grpc-js";
import { formatSubmit } from "../peer/format_submit.ts";
import { loadPeerServices } from "../peer/load_peer_services.ts";
import { parseOutcome } from "../peer/parse_outcome.ts";
import type { SchedulerMessages } from "../peer/scheduler_messages.ts";
import { waitMs } from "../utils/wait_ms.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { LinkEvents } from "./link_events.ts";
import type { SchedulerLink } from "./scheduler_link.ts";
import type { VmReport } from "./vm_report.ts";

/** How often the scheduler hears from this VM, in ms. */
const BEAT_MS = 150;
/** A scheduler that was not heard for this long is taken as lost, in ms; several of its beats. */
const SILENT_MS = 450;
/** Longest wait for the first word of a scheduler, in ms. */
const OPEN_MS = 400;
/** Longest wait for the last words of a scheduler that this VM leaves, in ms. */
const LEAVE_MS = 200;
/** How often the link is looked after, in ms. */
const LOOK_MS = 50;

type Stream = ClientDuplexStream<
  SchedulerMessages["fromVm"],
  SchedulerMessages["toVm"]
>;

const { scheduler: Service } = loadPeerServices();

/** Opens a link to a scheduler in another process; resolves once it has spoken. */
export function openRemoteLink(options: {
  address: string;
  events: LinkEvents;
  readReport: () => VmReport;
  lost: (how: "closed" | "silent") => void;
}): Promise<SchedulerLink> {
  const client = new Service(options.address, credentials.createInsecure(), {
    "grpc.enable_http_proxy": 0,
    "grpc.use_local_subchannel_pool": 1,
  });
  const stream = (client as unknown as { Attach(): Stream }).Attach();
  let heardMs = readMonotonicMs();
  let isOpen = false;
  let isClosed = false;
  let hearLeft = () => {};
  const left = new Promise<void>((resolve) => {
    hearLeft = resolve;
  });

  function close(): void {
    if (isClosed) return;
    isClosed = true;
    clearInterval(beater);
    clearInterval(watcher);
    stream.cancel();
    client.close();
  }

  function sendReport(): void {
    const { isDraining, isStoreReachable, ...rest } = options.readReport();
    stream.write({
      status: {
        ...rest,
        draining: isDraining,
        storeReachable: isStoreReachable,
      },
    });
  }

  const beater = setInterval(sendReport, BEAT_MS);
  let watcher: ReturnType<typeof setInterval>;
  sendReport();

  return new Promise((resolve, reject) => {
    function lose(how: "closed" | "silent"): void {
      if (isClosed) return;
      close();
      if (isOpen) options.lost(how);
      else reject(new Error(how));
    }

    watcher = setInterval(() => {
      const limitMs = isOpen ? SILENT_MS : OPEN_MS;
      if (readMonotonicMs() - heardMs > limitMs) lose("silent");
    }, LOOK_MS);

    stream.on("data", (message: SchedulerMessages["toVm"]) => {
      heardMs = readMonotonicMs();
      if (isClosed) return;
      if (message.status && !isOpen) {
        isOpen = true;
        resolve({
          epoch: message.status.epoch,
          submit: (order, progress) =>
            stream.write(formatSubmit(order, progress)),
          leave: () => {
            stream.write({ leave: {} });
            return Promise.race([left, waitMs(LEAVE_MS)]);
          },
          abandon: (id) => stream.write({ abandon: { id } }),
          close,
        });
      }
      passOn(message, options.events);
      if (message.left) {
        hearLeft();
        options.events.left();
      }
    });
    stream.on("error", () => lose("closed"));
    stream.on("end", () => lose("closed"));
  });
}

function passOn(
  message: SchedulerMessages["toVm"],
  events: LinkEvents,
): void {
  const { status, placed, done, ended, resignation } = message;
  if (status) events.status(status);
  if (placed) events.placed(placed.task, placed.endpointId);
  if (done) events.done(done.task);
  if (ended) events.ended(ended.id, parseOutcome(ended));
  if (resignation) events.resignation(resignation.reason);
}
