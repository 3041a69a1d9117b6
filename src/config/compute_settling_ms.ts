import { LEASE_MARGIN_MS } from "../decide/own/lease_margin_ms.ts";
import type { Configuration } from "./configuration.ts";

/**
 * Computes how long a client has to be suspended before its shard may change, in
 * ms. After that time its submission ids have passed their retention and leases
 * held at the start of the suspension have expired.
 */
export function computeSettlingMs(configuration: Configuration): number {
  const { retentionMs, leaseMs } = configuration.policy;
  return retentionMs + leaseMs + LEASE_MARGIN_MS;
}
