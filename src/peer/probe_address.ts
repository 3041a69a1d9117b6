import { connect } from "node:net";
import type { ProbeResult } from "./probe_result.ts";

/** How long a connection may take to be made or refused, in ms. */
const PROBE_MS = 500;

/** Connects to an address and closes at once. */
export function probeAddress(address: string): Promise<ProbeResult> {
  const separator = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    timeout: PROBE_MS,
  });
  return new Promise((resolve) => {
    function finish(result: ProbeResult): void {
      socket.destroy();
      resolve(result);
    }
    socket.on("connect", () => finish("open"));
    socket.on("timeout", () => finish("silent"));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      finish(error.code === "ECONNREFUSED" ? "refused" : "silent");
    });
  });
}
