import type { LogRecord } from "../claim/log_record.ts";
import type { ShardState } from "../own/shard_state.ts";
import type { EntryState } from "./entry_state.ts";
import { startJob } from "./start_job.ts";

/**
 * Applies a confirmed append to the shard log: starts the jobs whose claims the
 * append contains, as the claims are durable now.
 */
export function applyAppend(
  state: EntryState,
  shard: ShardState,
  nowMs: number,
): void {
  state.lease.platformAnsweredAtMs = Math.max(
    state.lease.platformAnsweredAtMs,
    nowMs,
  );
  const records = shard.inFlight?.records ?? [];
  shard.inFlight = undefined;
  for (const record of records) {
    if (record.type === "claim") applyClaim(state, shard, record);
  }
}

function applyClaim(
  state: EntryState,
  shard: ShardState,
  record: LogRecord & { type: "claim" },
): void {
  const job = state.jobs.get(record.key);
  if (!job || job.shard !== shard) return;
  if (hasLaterClaim(shard, record.key)) return;
  if (job.claim === "memory") {
    job.claim = "written";
    shard.unwritten -= 1;
    return;
  }
  if (job.claim !== "pending" || job.phase !== "claiming") return;
  job.claim = "written";
  startJob(state, job);
}

/**
 * Returns whether the claim was withdrawn and the submission claimed again;
 * that later claim has not been appended yet.
 */
function hasLaterClaim(shard: ShardState, key: string): boolean {
  return shard.claims.some((record) =>
    record.type === "claim" && record.key === key
  );
}
