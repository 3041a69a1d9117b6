import { checkConfiguration } from "../config/check_configuration.ts";
import { readError } from "../errors/read_error.ts";
import { callPeer } from "../peer/call_peer.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { ControlContext } from "./control_context.ts";
import { adoptVersion } from "./adopt_version.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Time without a response from the platform after which peers are polled, in ms. */
const PLATFORM_UNRESPONSIVE_MS = 3_000;
/** Interval between two polls of a peer, in ms. */
const PEER_POLL_INTERVAL_MS = 1_000;
/** Time-out of a poll, in ms. */
const PEER_TIMEOUT_MS = 1_000;

/**
 * Requests a newer configuration version from a random peer daemon at each
 * interval while the platform is unresponsive or no version is known, until
 * the daemon stops.
 */
export async function pollPeers(context: ControlContext): Promise<void> {
  while (!context.stopped) {
    await waitMs(PEER_POLL_INTERVAL_MS);
    const sinceResponseMs = readMonotonicMs() - context.lastResponseAtMs;
    const isPollNeeded = sinceResponseMs > PLATFORM_UNRESPONSIVE_MS ||
      context.version === 0;
    const peer = isPollNeeded ? choosePeer(context) : undefined;
    if (peer !== undefined) await requestVersion(context, peer);
  }
}

function choosePeer(context: ControlContext): string | undefined {
  const leaseAddresses = [...context.leases.values()]
    .filter((row) => row.value.state !== "ended")
    .map((row) => row.value.controlAddress);
  const all = new Set([...context.settings.peers, ...leaseAddresses]);
  all.delete(context.settings.peerAddress);
  const addresses = [...all];
  return addresses[Math.floor(Math.random() * addresses.length)];
}

async function requestVersion(
  context: ControlContext,
  peer: string,
): Promise<void> {
  try {
    const reply = await callPeer<
      { knownVersion: number },
      { version: number; configuration: string }
    >(context.peers.find(peer), "ReadVersion", {
      request: { knownVersion: context.version },
      timeoutMs: PEER_TIMEOUT_MS,
    });
    if (reply.version <= context.version) return;
    const configuration = checkConfiguration(JSON.parse(reply.configuration));
    adoptVersion(context, reply.version, configuration);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.debug("peerNotAsked", { process: peer, message });
  }
}
