import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import type { Evacuations } from "./evacuations.ts";

/** Creates a VM's view of the evacuations: the latest list of those that it has read from the store and received from other VMs. */
export function createEvacuationsView(options: {
  /** Reads the list as this VM last read it from the store; undefined before that. */
  readStored: () => Evacuations | undefined;
  /** Whether the deployment may evacuate data centres. If not, an empty list counts as none until there has been an evacuation. */
  isExpected: () => boolean;
  log: EventLog;
}): {
  /** Returns the latest list; undefined while none is known. */
  read(): Evacuations | undefined;
  /** Applies a list that another VM has sent. */
  update(received: Evacuations | undefined): void;
  /** Reads for how long this VM has known of each evacuation, in ms, by data centre. */
  readAges(): Map<string, number>;
} {
  const { log } = options;
  let known: Evacuations | undefined;
  /** When this VM learned of each evacuation, in ms. */
  const sinceMs = new Map<string, number>();

  function apply(next: Evacuations | undefined, from: "store" | "peer"): void {
    if (!next || known && next.revision <= known.revision) return;
    const isUsed = known !== undefined || next.dataCentres.length > 0 ||
      options.isExpected();
    if (!isUsed) return;
    known = next;
    const { revision, dataCentres } = next;
    for (const dataCentre of dataCentres) {
      if (sinceMs.has(dataCentre)) continue;
      sinceMs.set(dataCentre, readMonotonicMs());
      log("dataCentreEvacuated", { dataCentre, revision, from });
    }
    for (const [dataCentre, knownMs] of [...sinceMs]) {
      if (dataCentres.includes(dataCentre)) continue;
      sinceMs.delete(dataCentre);
      const afterMs = Math.round(readMonotonicMs() - knownMs);
      log("dataCentreReopened", { dataCentre, revision, from, afterMs });
    }
  }

  return {
    read: () => {
      apply(options.readStored(), "store");
      return known;
    },
    update: (received) => apply(received, "peer"),
    readAges: () => {
      const nowMs = readMonotonicMs();
      return new Map(
        [...sinceMs].map(([name, ms]) => [name, Math.round(nowMs - ms)]),
      );
    },
  };
}
