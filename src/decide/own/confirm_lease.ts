import { advanceChart } from "../../charts/advance_chart.ts";
import { leaseChart } from "../../charts/lease_chart.ts";
import type { ClockReading } from "../../utils/clock_reading.ts";
import type { LeaseState } from "./lease_state.ts";

/**
 * Applies a confirmed write of the lease row. The lease runs from the time at
 * which the write was sent: the platform starts it when the write arrives, so
 * that this process never considers it valid longer than others do.
 */
export function confirmLease(
  lease: LeaseState,
  confirmation: {
    /** Clocks of this process when the write was sent and when its confirmation arrived. */
    sentAt: ClockReading;
    receivedAt: ClockReading;
    /** New revision of the lease row. */
    revision: number;
    /** Time of the write on the platform's clock, in Unix ms. */
    atMs: number;
    leaseMs: number;
    /** Number of jobs that were started and whose claims are not durable yet. */
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
  lease.platformAnsweredAtMs = confirmation.receivedAt.monotonicMs;
  lease.ackedAtMs = confirmation.atMs;
  if (confirmation.unwritten === 0) lease.coveredUntilMs = confirmation.atMs;
}
