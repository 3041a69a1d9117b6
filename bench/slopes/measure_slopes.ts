import { formatSlope } from "./format_slope.ts";
import { measureControlSlope } from "./measure_control_slope.ts";
import { measureDispatchSlopes } from "./measure_dispatch_slopes.ts";
import { measureEntrySlope } from "./measure_entry_slope.ts";
import { measureTakeoverSlope } from "./measure_takeover_slope.ts";
import type { Slope } from "./slope.ts";

/** Measures every slope used in docs/CAPACITY.md, and prints each as soon as it is measured. */
export async function measureSlopes(): Promise<Slope[]> {
  const slopes: Slope[] = [];
  function add(slope: Slope): void {
    slopes.push(slope);
    console.log(formatSlope(slope));
  }
  for (const slope of measureDispatchSlopes()) add(slope);
  add(await measureControlSlope());
  add(await measureTakeoverSlope());
  add(await measureEntrySlope());
  return slopes;
}
