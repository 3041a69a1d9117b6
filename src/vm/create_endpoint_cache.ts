import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import { mergeLargestRoom } from "../scheduler/merge_largest_room.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { VmPorts } from "./vm_ports.ts";

/** Interval at which the list is read, in ms: the list serves a VM that is cut off, for which this age is acceptable. */
const READ_INTERVAL_MS = 3_000;
/** Above this number of endpoints the read interval grows in proportion to their number, as every VM reads the list. */
const ENDPOINTS_PER_INTERVAL = 100;

/** Creates a cache of the last list of endpoints that this VM could read, for the time when it reaches neither the store nor a scheduler. */
export function createEndpointCache(
  ports: Pick<VmPorts, "readEndpoints">,
): {
  /** Returns the last list. One that is older than `maxAgeMs` is read again meanwhile, if the store can be reached; default: at the usual interval. */
  read(maxAgeMs?: number): EndpointRow[];
  stop(): void;
} {
  let rows: EndpointRow[] = [];
  let timer: ReturnType<typeof setTimeout> | undefined;
  let askedMs = 0;
  let isReading = false;
  let isStopped = false;

  async function refresh(): Promise<void> {
    if (isReading) return;
    isReading = true;
    clearTimeout(timer);
    askedMs = readMonotonicMs();
    try {
      const earlier = new Map(rows.map((row) => [row.id, row]));
      const latest = await ports.readEndpoints();
      rows = latest.map((row) => mergeLargestRoom(row, earlier.get(row.id)));
    } catch {
      // The last list stays in use. The watch of the scheduler rows logs that the store does not answer.
    }
    isReading = false;
    if (isStopped) return;
    const factor = Math.max(1, rows.length / ENDPOINTS_PER_INTERVAL);
    timer = setTimeout(refresh, READ_INTERVAL_MS * factor);
  }
  refresh();
  return {
    read: (maxAgeMs = Infinity) => {
      if (!isStopped && readMonotonicMs() - askedMs > maxAgeMs) refresh();
      return rows;
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
