import { connect } from "node:net";
import type { ProbeResult } from "./probe_result.ts";

/** Time-out of a connection attempt, in ms. */
const PROBE_TIMEOUT_MS = 500;

/** Tries to connect to an address, `host:port`, and closes the connection at once. */
export function probeAddress(address: string): Promise<ProbeResult> {
  const separator = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    timeout: PROBE_TIMEOUT_MS,
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
