import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { VmPorts } from "./vm_ports.ts";

/** How often the list is read, in ms: it serves only a VM that is cut off, and may be this old then. */
const READ_MS = 3_000;

/** Keeps the last list of endpoints that this VM could read, for the time when it reaches neither store nor scheduler. */
export function keepEndpoints(
  ports: Pick<VmPorts, "readEndpoints">,
): { read(): EndpointRow[]; stop(): void } {
  let rows: EndpointRow[] = [];
  async function refresh(): Promise<void> {
    try {
      rows = await ports.readEndpoints();
    } catch {
      // The last list stays; whoever watches the store logs that it is lost.
    }
  }
  refresh();
  const timer = setInterval(refresh, READ_MS);
  return { read: () => rows, stop: () => clearInterval(timer) };
}
