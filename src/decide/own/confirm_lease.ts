import { advanceChart } from "../../charts/advance_chart.ts";
import { leaseChart } from "../../charts/lease_chart.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { LeaseState } from "./lease_state.ts";

/** Applies a confirmed write of the lease row; the lease runs from before it was sent. */
export function confirmLease(
  lease: LeaseState,
  confirmation: {
    sentAt: ClockReading;
    receivedAt: ClockReading;
    revision: number;
    /** Platform time of the write, in Unix ms. */
    atMs: number;
    leaseMs: number;
    /** Jobs started whose claims are not durable yet. */
    unwritten: number;
  },
): void {
  const event = lease.phase === "none" || lease.phase === "lost"
    ? "acquire"
    : "renew";
  lease.phase = advanceChart(leaseChart, lease.phase, event);
  lease.revision = confirmation.revision;
  lease.leaseMs = confirmation.leaseMs;
  const { sentAt, leaseMs } = confirmation;
  lease.validUntilMonotonicMs = sentAt.monotonicMs + leaseMs;
  lease.validUntilWallMs = sentAt.wallMs + leaseMs;
  lease.heardAtMs = confirmation.receivedAt.monotonicMs;
  lease.ackedAtMs = confirmation.atMs;
  if (confirmation.unwritten === 0) lease.coveredUntilMs = confirmation.atMs;
}
