import * as fc from "fast-check";
import type { Fault } from "./fault.ts";

const KINDS: Fault["kind"][] = [
  "cut",
  "mute",
  "late",
  "rebirth",
  "unlisted",
  "failing",
  "hang",
  "takeover",
  "zoneCut",
  "powerLoss",
  "cancel",
];

/** Troubles of a history, each of any kind at any time. */
export function createFaultArbitrary(): fc.Arbitrary<Fault[]> {
  return fc.array(
    fc.record({
      atMs: fc.integer({ min: 0, max: 11_000 }),
      forMs: fc.integer({ min: 100, max: 5_000 }),
      endpoint: fc.integer({ min: 0, max: 3 }),
      kind: fc.constantFrom(...KINDS),
    }),
    { minLength: 1, maxLength: 9 },
  );
}
