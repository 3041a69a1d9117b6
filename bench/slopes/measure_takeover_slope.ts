import { collectKnownSubmissions } from "../../src/decide/claim/collect_known_submissions.ts";
import { formatLogKey } from "../../src/decide/claim/format_log_key.ts";
import type { LogRecord } from "../../src/decide/claim/log_record.ts";
import { createHttpPlatform } from "../../src/store/create_http_platform.ts";
import { spawnProcess } from "../../test/fixtures/spawn_process.ts";
import { createSlope } from "./create_slope.ts";
import type { Slope } from "./slope.ts";

const RECORDS_PER_ROW = 20;
const SHARD = { dataCentre: "north", shard: 0, epoch: 1 };
const BYTES_PER_MB = 1_048_576;

/** Measures the time and memory for reading a shard log in a takeover, by the number of jobs in the log. */
export async function measureTakeoverSlope(): Promise<Slope> {
  const points: Slope["points"] = [];
  for (const size of [5_000, 20_000, 80_000]) {
    points.push({ size, values: await measure(size) });
  }
  return createSlope("takeover", "jobs in the log", points);
}

async function measure(jobs: number): Promise<Record<string, number>> {
  const host = await spawnProcess("stand_ins", ["platform"]);
  const platform = createHttpPlatform(host.ready.ready, 60_000);
  const appends: Promise<unknown>[] = [];
  for (let row = 0; row * RECORDS_PER_ROW < 2 * jobs; row += 1) {
    const value = {
      owner: "a",
      incarnation: "a",
      records: createRecords(row),
    };
    const key = formatLogKey(SHARD, row);
    appends.push(platform.table.transact([{ type: "insert", key, value }]));
    // At most 200 appends are in flight.
    if (appends.length >= 200) await Promise.all(appends.splice(0));
  }
  await Promise.all(appends);
  const startedAtMs = performance.now();
  const heapBefore = process.memoryUsage().heapUsed;
  const scan = await platform.table.scan(formatLogKey(SHARD), 0);
  const known = collectKnownSubmissions(scan.rows);
  const tookMs = performance.now() - startedAtMs;
  scan.rows = [];
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_MB;
  await platform.close();
  host.signal("SIGKILL");
  return { tookMs, heapMb, known: known.size };
}

/** Creates the records of a log row: an even row has claims, the odd row after it the outcomes of these claims. */
function createRecords(row: number): LogRecord[] {
  const isOutcome = row % 2 === 1;
  return Array.from({ length: RECORDS_PER_ROW }, (_, index) => {
    const key = `guild/01a3185c-57d0-7000-8000-${row >> 1}-${index}`;
    const digest = "0".repeat(64);
    return isOutcome
      ? { type: "complete", key, digest, answer: `answers/${row}` }
      : { type: "claim", key, digest };
  });
}
