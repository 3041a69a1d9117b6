import { processChart } from "../charts/process_chart.ts";
import { createEntryState } from "../decide/entry/create_entry_state.ts";
import { createRandom } from "../utils/create_random.ts";
import { readClock } from "../utils/read_clock.ts";
import type { EntrySettings } from "../settings/entry_settings.ts";
import { createInitialVersion } from "./create_initial_version.ts";
import type { EntryContext } from "./entry_context.ts";

/** Creates what the parts of an entry share; the outside world comes in as arguments. */
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
    nextCaller: 1,
    phase: processChart.initial,
    isNoticed: false,
    appends: { count: 0, totalMs: 0 },
    wakeWriter: () => {},
  };
}
