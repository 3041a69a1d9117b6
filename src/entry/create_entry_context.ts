import { processChart } from "../charts/process_chart.ts";
import { createEntryState } from "../decide/entry/create_entry_state.ts";
import { createRandom } from "../utils/create_random.ts";
import { computeClientLimits } from "../client_limits/compute_client_limits.ts";
import { readClock } from "../utils/read_clock.ts";
import type { EntrySettings } from "../settings/entry_settings.ts";
import { createInitialVersion } from "./create_initial_version.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Creates the context of an entry; `dependencies` contains the external ones,
 * such as the platform and the calls to peers.
 */
export function createEntryContext(
  settings: EntrySettings,
  dependencies: Pick<
    EntryContext,
    | "platform"
    | "logger"
    | "metrics"
    | "callPeer"
    | "probeAddress"
    | "createSender"
    | "requestStop"
  >,
): EntryContext {
  const incarnation = crypto.randomUUID();
  const clock = readClock();
  return {
    ...dependencies,
    settings,
    name: settings.peerAddress,
    incarnation,
    state: createEntryState({
      dataCentre: settings.dataCentre,
      incarnation,
      version: createInitialVersion(),
      maxJobBytes: computeClientLimits(settings).maxJobBytes,
      random: createRandom(settings.seed ?? clock.wallMs),
    }),
    view: {
      leases: new Map(),
      shards: new Map(),
      leavingAddresses: [],
      confirmedDead: new Set(),
      platformOffsetMs: clock.wallMs - clock.monotonicMs,
    },
    senders: new Map(),
    callers: new Map(),
    nextCallerId: 1,
    phase: processChart.initial,
    isDrainAnnounced: false,
    appends: { count: 0, totalMs: 0 },
    wakeLogWriter: () => {},
  };
}
