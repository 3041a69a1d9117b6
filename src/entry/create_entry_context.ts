import { processChart } from "../charts/process_chart.ts";
import { createEntryState } from "../decide/entry/create_entry_state.ts";
import { createRandom } from "../utils/create_random.ts";
import { readClock } from "../utils/read_clock.ts";
import type { EntrySettings } from "../settings/entry_settings.ts";
import { createInitialVersion } from "./create_initial_version.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Creates the context of an entry. External dependencies, such as the platform
 * and the peers, are passed in `outside`.
 */
export function createEntryContext(
  settings: EntrySettings,
  outside: Pick<
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
    ...outside,
    settings,
    name: settings.peerAddress,
    incarnation,
    state: createEntryState({
      dataCentre: settings.dataCentre,
      incarnation,
      version: createInitialVersion(),
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
