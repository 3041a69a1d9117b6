import type { Evacuations } from "../../src/evacuation/evacuations.ts";
import type { FuzzHost } from "./fuzz_host.ts";

/** Time in which a scheduler that reaches the store knows of an evacuation: a reading, and one step of the scheduler. */
const KNOWN_WITHIN_MS = 600;

/** Simulated rows of the operator that evacuate data centres. Finds starts that a scheduler sends to one although it could know. */
export class FuzzEvacuations {
  /** Faults by data centre, as several may evacuate the same one. */
  #counts = new Map<string, number>();
  #sinceMs = new Map<string, number>();
  #revision = 1;

  begin(dataCentre: string, nowMs: number): void {
    const count = this.#counts.get(dataCentre) ?? 0;
    this.#counts.set(dataCentre, count + 1);
    if (count > 0) return;
    this.#sinceMs.set(dataCentre, nowMs);
    this.#revision += 1;
  }

  end(dataCentre: string): void {
    const count = this.#counts.get(dataCentre) ?? 0;
    this.#counts.set(dataCentre, count - 1);
    if (count > 1) return;
    this.#sinceMs.delete(dataCentre);
    this.#revision += 1;
  }

  read(): Evacuations {
    const dataCentres = [...this.#sinceMs.keys()].sort();
    return { revision: this.#revision, dataCentres };
  }

  /** Whether a scheduler that sends a start now could know that the data centre is evacuated. */
  isKnowable(
    { isSolo, state }: FuzzHost,
    at: {
      dataCentre: string;
      nowMs: number;
      /** When the scheduler could reach the store again after its last outage, in ms; infinite during one. */
      storeSinceMs: number;
    },
  ): boolean {
    const sinceMs = this.#sinceMs.get(at.dataCentre);
    if (sinceMs === undefined) return false;
    // A scheduler other than a solo VM reads the rows before its first start.
    if (!isSolo && sinceMs <= state.startedMs) return true;
    return at.nowMs - Math.max(sinceMs, at.storeSinceMs) > KNOWN_WITHIN_MS;
  }
}
