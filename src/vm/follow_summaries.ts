import { readError } from "../errors/read_error.ts";
import type { Table } from "../store/table.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";
import type { EventLog } from "./event_log.ts";
import { formatRowKeys } from "./format_row_keys.ts";
import type { GroupSummary } from "./group_summary.ts";
import type { Ticker } from "./ticker.ts";
import type { SchedulerHost } from "./scheduler_host.ts";

/** How often the other groups' beats are read, in ms. */
const READ_MS = 100;
/** An older beat says nothing of a group's room, in ms. */
const STALE_MS = 400;
/** Begins the keys of all groups' beats. */
const PREFIX = formatRowKeys("").beat.slice(0, -1);

/** Reads what the other groups' schedulers tell with their beats, while this process is a scheduler. */
export function followSummaries(options: {
  table: Table;
  ticker: Ticker;
  log: EventLog;
  /** The other groups. */
  groups: string[];
  findHost: () => SchedulerHost | undefined;
}): { stop(): void } {
  const { table, log, groups, findHost } = options;
  const byKey = new Map(
    groups.map((group) => [formatRowKeys(group).beat, group]),
  );
  let isBusy = false;
  let isLost = false;

  async function readNow(host: SchedulerHost): Promise<void> {
    const scan = await table.scan(PREFIX, 0);
    const summaries = new Map<string, GroupSummary>();
    for (const { key, value } of scan.rows) {
      const group = byKey.get(key);
      const { storeMs, summary } = value as HeartbeatRow;
      if (group === undefined || !summary) continue;
      if (scan.atMs - storeMs > STALE_MS) continue;
      summaries.set(group, summary);
    }
    host.takeSummaries(summaries);
  }

  async function look(): Promise<void> {
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
      // Without news nothing is passed on.
      host.takeSummaries(new Map());
    } finally {
      isBusy = false;
    }
  }

  return { stop: options.ticker.every(READ_MS, look) };
}
