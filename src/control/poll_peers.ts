import { checkConfiguration } from "../config/check_configuration.ts";
import { readError } from "../errors/read_error.ts";
import { callPeer } from "../peer/call_peer.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { ControlContext } from "./control_context.ts";
import { takeVersion } from "./take_version.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Silence of the platform after which peers are asked, in ms. */
const SILENT_MS = 3_000;
/** How often a peer is asked meanwhile, in ms. */
const ASK_MS = 1_000;
const CALL_MS = 1_000;

/** While the platform is silent, asks other daemons for a newer version. */
export async function askPeers(context: ControlContext): Promise<void> {
  while (!context.stopped) {
    await waitMs(ASK_MS);
    const silentMs = readMonotonicMs() - context.heardAtMs;
    const isSilent = silentMs > SILENT_MS || context.version === 0;
    const peer = isSilent ? choosePeer(context) : undefined;
    if (peer !== undefined) await askPeer(context, peer);
  }
}

function choosePeer(context: ControlContext): string | undefined {
  const learned = [...context.leases.values()]
    .filter((row) => row.value.state !== "ended")
    .map((row) => row.value.controlAddress);
  const all = new Set([...context.settings.peers, ...learned]);
  all.delete(context.settings.peerAddress);
  const addresses = [...all];
  return addresses[Math.floor(Math.random() * addresses.length)];
}

async function askPeer(context: ControlContext, peer: string): Promise<void> {
  try {
    const reply = await callPeer<
      { knownVersion: number },
      { version: number; configuration: string }
    >(context.peers.find(peer), "ReadVersion", {
      request: { knownVersion: context.version },
      timeoutMs: CALL_MS,
    });
    if (reply.version <= context.version) return;
    const configuration = checkConfiguration(JSON.parse(reply.configuration));
    takeVersion(context, reply.version, configuration);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.debug("peerNotAsked", { process: peer, message });
  }
}
