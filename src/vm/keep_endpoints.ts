import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { VmPorts } from "./vm_ports.ts";

/** How often the list is read, in ms: it serves only a VM that is cut off, and may be this old then. */
const READ_MS = 3_000;
/** A list with more endpoints is read that much more seldom: every VM reads it. */
const ENDPOINTS_PER_READ = 100;

/** Keeps the last list of endpoints that this VM could read, for the time when it reaches neither store nor scheduler. */
export function keepEndpoints(
  ports: Pick<VmPorts, "readEndpoints">,
): { read(): EndpointRow[]; stop(): void } {
  let rows: EndpointRow[] = [];
  let timer: ReturnType<typeof setTimeout> | undefined;
  let isStopped = false;

  async function refresh(): Promise<void> {
    try {
      rows = await ports.readEndpoints();
    } catch {
      // The last list stays; whoever watches the store logs that it is lost.
    }
    if (isStopped) return;
    const factor = Math.max(1, rows.length / ENDPOINTS_PER_READ);
    timer = setTimeout(refresh, READ_MS * factor);
  }
  refresh();
  return {
    read: () => rows,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
