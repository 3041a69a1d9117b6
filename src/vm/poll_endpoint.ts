import { applyListing } from "../scheduler/apply_listing.ts";
import { computeAcknowledgedEnd } from "../scheduler/compute_acknowledged_end.ts";
import { computeLeaseEnd } from "../scheduler/compute_lease_end.ts";
import type { EndpointListing } from "../scheduler/endpoint_listing.ts";
import type { EndpointRecord } from "../scheduler/endpoint_record.ts";
import { setEndpointUnresponsive } from "../scheduler/set_endpoint_unresponsive.ts";
import type { SilenceCause } from "../scheduler/silence_cause.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EndpointSession } from "./endpoint_session.ts";
import type { EndpointSessionOptions } from "./endpoint_session_options.ts";

/** Long poll of an endpoint whose lease is not extended at present, in ms: short, because the reason not to extend the lease may end at any moment. */
const UNEXTENDED_LONG_POLL_MS = 30;
/** An endpoint whose listings time out is unresponsive when its last one is older than this, in ms: single answers may be lost. */
const UNRESPONSIVE_AFTER_MS = 500;
/** Pause before an unresponsive endpoint is polled again, in ms. */
const SILENT_RETRY_DELAY_MS = 150;
/** Pause before an endpoint that a later scheduler has taken over is polled again, in ms. */
const TAKEN_RETRY_DELAY_MS = 300;
/** First pause before an endpoint is polled again whose run ends are being stored, in ms: about the time of a write. Each further pause is longer by this much, as the store may be unavailable. */
const UNACKNOWLEDGED_DELAY_STEP_MS = 30;
/** Longest pause in which run ends are being stored, in ms; a fraction of the lease. */
const MAX_UNACKNOWLEDGED_DELAY_MS = 250;

/** Polls the listings of an endpoint, which extends its lease, until its session is closed. */
export async function pollEndpoint(
  options: EndpointSessionOptions,
  id: string,
  session: EndpointSession,
): Promise<void> {
  const { state, applyDecision } = options;
  const { answers } = session;
  /** Listings in a row that failed. */
  let failures = 0;
  let unacknowledgedDelayMs = 0;
  let skipsLongPoll = false;
  while (session.isOpen) {
    const endpoint = state.endpoints.get(id);
    if (!endpoint) return;
    const sentMs = readMonotonicMs();
    const leaseEndMs = computeLeaseEnd(state, endpoint, sentMs);
    if (leaseEndMs !== undefined) {
      endpoint.leaseEndMs = Math.max(endpoint.leaseEndMs, leaseEndMs);
    }
    const canLongPoll = endpoint.phase === "usable" && failures === 0 &&
      !skipsLongPoll;
    const maxPollMs = leaseEndMs === undefined
      ? UNEXTENDED_LONG_POLL_MS
      : answers.computeLongPollMs(sentMs);
    const pollMs: number = canLongPoll ? maxPollMs : 0;
    const timeoutMs = pollMs + answers.computeTimeoutMs(failures);
    skipsLongPoll = false;
    // After a broken connection a new endpoint process may answer, which numbers its run ends from the start again.
    // No run end is acknowledged in that case.
    const lastEnd = failures > 0
      ? 0
      : computeAcknowledgedEnd(state, endpoint, sentMs);
    let cause: SilenceCause = "timedOut";
    try {
      const listing = await session.client.list({
        token: endpoint.token,
        lastEnd,
        leaseEndMs,
        waitMs: pollMs,
        timeoutMs,
      });
      if (!session.isOpen) return;
      if (pollMs === 0 && failures === 0) {
        answers.recordAnswer(readMonotonicMs() - sentMs);
      }
      if (listing === "superseded") {
        options.onSuperseded(id);
        await waitMs(TAKEN_RETRY_DELAY_MS);
        continue;
      }
      if (listing === "broken" || listing === "otherInstance") {
        cause = listing === "broken" ? "broken" : "replaced";
        throw new Error(listing);
      }
      failures = 0;
      // A listing that was held back may show a run of a later scheduler that the endpoint has obeyed since the request.
      // A second poll, which the endpoint answers without waiting, shows whether it still accepts this fencing token.
      skipsLongPoll = pollMs > 0 && hasNewForeignRun(endpoint, listing);
      if (skipsLongPoll) continue;
      applyDecision(() => applyListing(state, id, listing));
      // The endpoint answers a long poll at once while it has unacknowledged run ends.
      const hasUnacknowledgedEnds = endpoint.unacknowledgedEnds.size > 0;
      unacknowledgedDelayMs = hasUnacknowledgedEnds
        ? Math.min(
          unacknowledgedDelayMs + UNACKNOWLEDGED_DELAY_STEP_MS,
          MAX_UNACKNOWLEDGED_DELAY_MS,
        )
        : 0;
      if (hasUnacknowledgedEnds) {
        await waitForStoredEnds(session, unacknowledgedDelayMs);
      }
    } catch {
      failures += 1;
      const nowMs = readMonotonicMs();
      const tookMs = nowMs - sentMs;
      const isTimedOut = tookMs >= timeoutMs;
      if (isTimedOut) answers.recordLoss({ tookMs, timeoutMs, nowMs });
      const isLostAnswer = isTimedOut &&
        nowMs - endpoint.lastReplyMs < UNRESPONSIVE_AFTER_MS;
      if (failures === 1 || isLostAnswer) continue;
      if (isTimedOut) cause = "timedOut";
      const silence = cause;
      applyDecision((at) =>
        setEndpointUnresponsive(state, id, { cause: silence, nowMs: at })
      );
      await waitMs(SILENT_RETRY_DELAY_MS);
    }
  }
}

async function waitForStoredEnds(
  session: EndpointSession,
  maxMs: number,
): Promise<void> {
  const wakeCalled = new Promise<void>((resolve) => {
    session.wake = resolve;
  });
  await Promise.race([wakeCalled, waitMs(maxMs)]);
}

/** Whether a listing shows a run that the scheduler does not know yet, neither of its jobs nor as a foreign run. */
function hasNewForeignRun(
  { runs, foreignRuns }: EndpointRecord,
  { running }: EndpointListing,
): boolean {
  return running.some(({ task, run }) =>
    runs.get(task)?.run !== run && foreignRuns.get(task)?.run !== run
  );
}
