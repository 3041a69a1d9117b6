import { computeAcknowledgedEnd } from "./compute_acknowledged_end.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { EndpointRow } from "./endpoint_row.ts";
import { hasHiddenEnds } from "./has_hidden_ends.ts";
import { mergeLargestRoom } from "./merge_largest_room.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordAbsences } from "./record_absences.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Applies the store's list of endpoints. An endpoint that left the list drains
 * and is removed once none of its runs and run ends is pending.
 */
export function updateEndpoints(
  state: SchedulerState,
  rows: EndpointRow[],
  read: {
    nowMs: number;
    /** False shortly after a store outage, when the list may lack live endpoints; usable endpoints are not removed then, and none counts as absent. */
    isListReliable: boolean;
  },
): void {
  const listed = new Set(rows.map((row) => row.id));
  for (const row of rows) updateEndpoint(state, row);
  for (const [id, endpoint] of state.endpoints) {
    if (listed.has(id)) continue;
    if (!read.isListReliable && endpoint.phase === "usable") continue;
    endpoint.row = { ...endpoint.row, isDraining: true };
    // Removes expired unacknowledged ends. For listed endpoints each poll does this, but an endpoint outside the list is not polled.
    computeAcknowledgedEnd(state, endpoint, read.nowMs);
    const { runs, foreignRuns, unacknowledgedEnds } = endpoint;
    if (runs.size + foreignRuns.size + unacknowledgedEnds.size > 0) continue;
    if (hasHiddenEnds(state, endpoint)) continue;
    state.endpoints.delete(id);
    if (endpoint.phase !== "usable") state.missingEndpoints.set(id, read.nowMs);
    recordEvent(state, "endpointGone", { endpoint: id });
  }
  // A solo VM's list has its own share of the endpoints only.
  if (read.isListReliable && !state.isSolo) {
    recordAbsences(state, listed, read.nowMs);
  }
  placeTasks(state, read.nowMs);
}

/** Adds an endpoint or updates the row of a known one. */
function updateEndpoint(state: SchedulerState, row: EndpointRow): void {
  const known = state.endpoints.get(row.id);
  if (!known) {
    state.endpoints.set(row.id, createRecord(state, row));
    state.missingEndpoints.delete(row.id);
    recordEvent(state, "endpointAdded", {
      endpoint: row.id,
      address: row.address,
      dataCentre: row.dataCentre,
      cpu: row.room.cpu,
    });
    return;
  }
  if (row.isDraining && !known.row.isDraining) {
    recordEvent(state, "endpointDraining", { endpoint: row.id });
  }
  known.row = mergeLargestRoom(row, known.row);
  known.hasAnnouncedEnd = row.isDraining;
}

function createRecord(
  state: SchedulerState,
  row: EndpointRow,
): EndpointRecord {
  return {
    row,
    token: state.token,
    phase: "unlisted",
    hasAnnouncedEnd: row.isDraining,
    processStartMs: 0,
    used: { cpu: 0, memoryMb: 0, gpus: 0 },
    runs: new Map(),
    foreignRuns: new Map(),
    listedEndCount: 0,
    lastEndNumber: 0,
    unacknowledgedEnds: new Map(),
    listingRequestedMs: 0,
    clockMs: 0,
    lastReplyMs: 0,
    leaseEndMs: 0,
    leaseExpiryClockMs: 0,
    slowness: 1,
    slownessSamples: 0,
    consecutiveFailures: 0,
    roomRejections: 0,
    backoffUntilMs: 0,
  };
}
