import { measureOutage } from "./measure_outage.ts";

const SPANS_MS = [10_000, 60_000, 600_000];

/** Measures outages of three lengths under leases of three lengths, and prints a line each. */
export async function measureOutages(): Promise<void> {
  for (const ids of ["young", "opaque"] as const) {
    for (const leaseMs of SPANS_MS) {
      for (const outageMs of SPANS_MS) {
        const record = await measureOutage({ leaseMs, outageMs, ids });
        const share = (count: number) =>
          `${(100 * count / record.sent).toFixed(1)} %`;
        console.log(
          `${ids} ids, lease ${leaseMs / 1_000} s, outage ${
            outageMs / 1_000
          } s: ` +
            `served ${share(record.complete)}, refused as not run ${
              share(record.refusedNotRun)
            }, failed ${share(record.failed)}, slowest answer ${
              Math.round(record.slowestMs)
            } ms, ${record.sent} jobs`,
        );
      }
    }
  }
}
