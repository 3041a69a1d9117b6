import { computeAcknowledgedEnd } from "./compute_acknowledged_end.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { EndpointRow } from "./endpoint_row.ts";
import { placeTasks } from "./place_tasks.ts";
import { recordEvent } from "./record_event.ts";
import type { SchedulerState } from "./scheduler_state.ts";

/**
 * Takes the store's list of endpoints. One that is no longer listed gets
 * nothing new, unless the store was away a moment ago and may have lost it.
 */
export function updateEndpoints(
  state: SchedulerState,
  rows: EndpointRow[],
  read: { nowMs: number; isListReliable: boolean },
): void {
  const listed = new Set(rows.map((row) => row.id));
  for (const row of rows) updateEndpoint(state, row);
  for (const [id, endpoint] of state.endpoints) {
    if (listed.has(id)) continue;
    if (!read.isListReliable && endpoint.phase === "usable") continue;
    endpoint.row = { ...endpoint.row, isDraining: true };
    // One that is gone is asked no more, which would let go of what is over.
    computeAcknowledgedEnd(state, endpoint, read.nowMs);
    const { runs, foreignRuns, unacknowledgedEnds } = endpoint;
    if (runs.size + foreignRuns.size + unacknowledgedEnds.size > 0) continue;
    state.endpoints.delete(id);
    if (endpoint.phase !== "usable") state.missing.set(id, read.nowMs);
    recordEvent(state, "endpointGone", { endpoint: id });
  }
  placeTasks(state, read.nowMs);
}

function updateEndpoint(state: SchedulerState, row: EndpointRow): void {
  const known = state.endpoints.get(row.id);
  if (!known) {
    state.endpoints.set(row.id, createRecord(state, row));
    state.missing.delete(row.id);
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
  known.row = row;
}

function createRecord(
  state: SchedulerState,
  row: EndpointRow,
): EndpointRecord {
  return {
    row,
    token: state.token,
    phase: "unlisted",
    processStartMs: 0,
    used: { cpu: 0, memoryMb: 0, gpus: 0 },
    runs: new Map(),
    foreignRuns: new Map(),
    lastEnd: 0,
    unacknowledgedEnds: new Map(),
    listedMs: 0,
    clockMs: 0,
    heardMs: 0,
    leaseEndMs: 0,
    lapseByClockMs: 0,
    slowness: 1,
    samples: 0,
    strikes: 0,
    restUntilMs: 0,
  };
}
