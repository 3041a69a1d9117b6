import { readError } from "../errors/read_error.ts";
import type { ScanResult } from "../store/scan_result.ts";
import type { Table } from "../store/table.ts";
import { isPlainObject } from "../utils/is_plain_object.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";
import type { EventLog } from "./event_log.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { Ticker } from "./ticker.ts";
import type { SchedulerHost } from "./scheduler_host.ts";

/** Interval at which the other groups' heartbeats are read, in ms. */
const POLL_INTERVAL_MS = 100;
/** A heartbeat older than this no longer reflects its group's free capacity, in ms. */
const STALE_HEARTBEAT_MS = 400;
/** Prefix of the keys of all groups' heartbeats. */
const HEARTBEAT_PREFIX = formatRowKeys("").heartbeat.slice(0, -1);

/** Polls the summaries in the heartbeats of other groups' schedulers, while a scheduler runs in this process. */
export function pollGroupSummaries(options: {
  table: Table;
  ticker: Ticker;
  log: EventLog;
  /** Names of the other groups. */
  groups: string[];
  /** Whether tasks may start in a group. The free capacity of one that is evacuated does not count, whatever its scheduler says. */
  isOpen: (group: string) => boolean;
  /** Called with the heartbeats as just read, and the summaries in those that are current. */
  onRead: (
    host: SchedulerHost,
    read: { scan: ScanResult; summaries: Map<string, GroupSummary> },
  ) => Promise<void>;
  findHost: () => SchedulerHost | undefined;
}): { stop(): void } {
  const { table, log, groups, findHost } = options;
  const byKey = new Map(
    groups.map((group) => [formatRowKeys(group).heartbeat, group]),
  );
  let isBusy = false;
  let isLost = false;

  async function readNow(host: SchedulerHost): Promise<void> {
    const scan = await table.scan(HEARTBEAT_PREFIX, 0);
    const summaries = new Map<string, GroupSummary>();
    for (const { key, value } of scan.rows) {
      const group = byKey.get(key);
      if (group === undefined || !isPlainObject(value)) continue;
      const { storeMs, summary } = value as HeartbeatRow;
      if (!Array.isArray(summary?.rooms)) continue;
      if (scan.atMs - storeMs > STALE_HEARTBEAT_MS) continue;
      const isOpen = options.isOpen(group);
      summaries.set(group, isOpen ? summary : { ...summary, rooms: [] });
    }
    host.setGroupSummaries(summaries);
    await options.onRead(host, { scan, summaries });
  }

  async function poll(): Promise<void> {
    const host = findHost();
    if (!host || isBusy || groups.length === 0) return;
    isBusy = true;
    try {
      await readNow(host);
      if (isLost) log("storeRegained", { watch: "summaries" });
      isLost = false;
    } catch (thrown) {
      const { message } = readError(thrown);
      if (!isLost) log("storeLost", { watch: "summaries", message });
      isLost = true;
      // Without current summaries no job is passed to another group.
      host.setGroupSummaries(new Map());
    } finally {
      isBusy = false;
    }
  }

  return { stop: options.ticker.every(POLL_INTERVAL_MS, poll) };
}
