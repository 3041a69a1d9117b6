import type { RunRecord } from "./run_record.ts";

const COLUMNS = [
  "scenario",
  "way",
  "task p50",
  "p99",
  "p99.9",
  "short p99",
  "job p50",
  "p99",
  "over ms",
  "over p99",
  "claim ms",
  "done",
  "failed",
  "refused",
  "goodput",
  "extra",
  "starts/s",
  "/core s",
  "writes/s",
];

/** Formats records as a table for the terminal. */
export function formatTable(records: RunRecord[]): string {
  const rows = [COLUMNS, ...records.map(formatRow)];
  const widths = COLUMNS.map((_, column) =>
    Math.max(...rows.map((row) => row[column].length))
  );
  return rows
    .map((row) =>
      row.map((cell, column) => cell.padStart(widths[column])).join("  ")
    )
    .join("\n");
}

function formatRow(record: RunRecord): string[] {
  const { jobs, platformPerSecond } = record;
  return [
    record.scenario,
    record.way,
    record.taskRatio.p50.toFixed(2),
    record.taskRatio.p99.toFixed(2),
    record.taskRatio.p999.toFixed(2),
    record.shortTaskRatio.p99.toFixed(2),
    record.jobRatio.p50.toFixed(3),
    record.jobRatio.p99.toFixed(2),
    record.jobOverheadMs.p50.toFixed(1),
    record.jobOverheadMs.p99.toFixed(1),
    record.claimMs.toFixed(1),
    String(jobs.complete),
    String(jobs.failed + jobs.broken),
    String(jobs.refused),
    record.goodput.toFixed(3),
    record.extraMessages.toFixed(4),
    record.startsPerSecond.toFixed(0),
    record.startsPerCoreSecond.toFixed(0),
    (platformPerSecond.transactions + platformPerSecond.objectWrites).toFixed(
      1,
    ),
  ];
}
