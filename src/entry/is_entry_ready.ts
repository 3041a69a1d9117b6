import { isLeaseValid } from "../decide/own/is_lease_valid.ts";
import { readClock } from "../utils/read_clock.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Whether the platform's load balancer should send requests to this entry: it
 * is serving and its lease is valid.
 */
export function isEntryReady(context: EntryContext): boolean {
  if (context.phase !== "serving") return false;
  return isLeaseValid(context.state.lease, readClock());
}
