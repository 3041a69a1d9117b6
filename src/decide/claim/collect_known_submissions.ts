import type { TableRow } from "../../store/table_row.ts";
import type { KnownSubmission } from "./known_submission.ts";
import type { LogRecord } from "./log_record.ts";
import type { LogRow } from "./log_row.ts";

/**
 * Replays the rows of a shard log, sorted by key, into the latest state of each
 * submission, by job key. A claim does not replace an earlier record of its
 * submission, and a withdrawal removes the claim.
 */
export function collectKnownSubmissions(
  rows: TableRow[],
): Map<string, KnownSubmission> {
  const known = new Map<string, KnownSubmission>();
  for (const row of rows) {
    const value = row.value as LogRow;
    for (const record of value.records) {
      applyRecord(known, record, { row: value, atMs: row.updatedAtMs });
    }
  }
  return known;
}

function applyRecord(
  known: Map<string, KnownSubmission>,
  record: LogRecord,
  source: { row: LogRow; atMs: number },
): void {
  if (record.type === "withdrawn") {
    known.delete(record.key);
    return;
  }
  const earlier = known.get(record.key);
  if (record.type === "claim" && earlier) return;
  known.set(record.key, {
    digest: record.digest,
    status: record.type === "claim" ? "open" : record.type,
    owner: source.row.owner,
    incarnation: source.row.incarnation,
    atMs: source.atMs,
    failure: record.type === "failed" ? record.failure : undefined,
    mayHaveRun: record.type === "failed" ? record.mayHaveRun : undefined,
    answer: record.type === "complete" ? record.answer : undefined,
  });
}
