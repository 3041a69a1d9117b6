import { isIP } from "node:net";
import { z } from "zod";

/** The schema of an address: an IP address and a port, such as `10.0.0.7:7400` or `[::1]:7400`. */
export const addressSchema = z.string().refine(
  isAddress,
  "give an IP number and a port, such as 10.0.0.7:7400",
);

function isAddress(text: string): boolean {
  const lastColon = text.lastIndexOf(":");
  const host = text.slice(0, lastColon).replace(/^\[|\]$/g, "");
  const port = Number(text.slice(lastColon + 1));
  return isIP(host) !== 0 && Number.isInteger(port) && port >= 0 &&
    port <= 65_535;
}
