import { measureOutage } from "./measure_outage.ts";

/** Every lease duration is combined with every outage duration. */
const DURATIONS_MS = [10_000, 60_000, 600_000];

/** Measures outages of three durations under leases of three durations, and prints one line for each combination. */
export async function measureOutages(): Promise<void> {
  for (const ids of ["young", "opaque"] as const) {
    for (const leaseMs of DURATIONS_MS) {
      for (const outageMs of DURATIONS_MS) {
        const record = await measureOutage({ leaseMs, outageMs, ids });
        const formatShare = (count: number) =>
          `${(100 * count / record.sent).toFixed(1)} %`;
        console.log(
          `${ids} ids, lease ${leaseMs / 1_000} s, outage ${
            outageMs / 1_000
          } s: ` +
            `served ${formatShare(record.complete)}, refused as not run ${
              formatShare(record.refusedNotRun)
            }, failed ${formatShare(record.failed)}, slowest answer ${
              Math.round(record.slowestMs)
            } ms, ${record.sent} jobs`,
        );
      }
    }
  }
}
