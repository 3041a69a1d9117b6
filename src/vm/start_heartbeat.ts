import { readError } from "../errors/read_error.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";
import type { EventLog } from "./event_log.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { Ticker } from "./ticker.ts";
import type { WatchableTable } from "./watchable_table.ts";

/** Interval between two heartbeats, in ms. */
const HEARTBEAT_INTERVAL_MS = 100;
/** A scheduler that could not write a heartbeat for this long asks another VM to take over, in ms. */
const RESIGN_AFTER_MS = 2_000;

/** Starts writing the heartbeat of the scheduler that runs in this process; the scheduler resigns when no heartbeat could be written for `RESIGN_AFTER_MS`. */
export function startHeartbeat(options: {
  table: WatchableTable;
  ticker: Ticker;
  /** Key of the group's heartbeat row. */
  key: string;
  log: EventLog;
  findHost: () => SchedulerHost | undefined;
}): { stop(): void } {
  const { table, key, log, findHost } = options;
  let offsetMs: number | undefined;
  let writtenMs = readMonotonicMs();
  let revision: number | undefined;
  let isBusy = false;
  let isReachable = true;
  let resignedMs = 0;

  async function write(host: SchedulerHost): Promise<void> {
    const { epoch } = host;
    if (offsetMs === undefined || revision === undefined) {
      const scan = await table.scan(key, 0);
      offsetMs = scan.atMs - readMonotonicMs();
      const row = scan.rows.find((one) => one.key === key);
      const known = row?.value as HeartbeatRow | undefined;
      // A later scheduler writes heartbeats; this scheduler will find it in the scheduler row.
      if (known && known.epoch > epoch) return;
      revision = row?.revision ?? 0;
    }
    const sentMs = readMonotonicMs();
    const value: HeartbeatRow = {
      epoch,
      storeMs: sentMs + offsetMs,
      summary: host.describeSummary(),
    };
    const result = await table.transact([
      revision === 0
        ? { type: "insert", key, value }
        : { type: "replace", key, value, revision },
    ]);
    if (result.type === "conflict") {
      revision = undefined;
      return;
    }
    revision = result.revision;
    writtenMs = readMonotonicMs();
    host.confirmRole(sentMs);
  }

  async function renewHeartbeat(): Promise<void> {
    const host = findHost();
    if (!host) {
      writtenMs = readMonotonicMs();
      revision = undefined;
      isReachable = true;
      return;
    }
    if (isBusy) {
      resignIfStoreLost(host);
      return;
    }
    isBusy = true;
    try {
      await write(host);
      if (!isReachable) log("storeRegained", { watch: "beat" });
      isReachable = true;
    } catch (thrown) {
      revision = undefined;
      if (isReachable) {
        log("storeLost", { watch: "beat", message: readError(thrown).message });
      }
      isReachable = false;
    } finally {
      isBusy = false;
    }
    resignIfStoreLost(host);
  }

  function resignIfStoreLost(host: SchedulerHost): void {
    const nowMs = readMonotonicMs();
    if (
      nowMs - writtenMs < RESIGN_AFTER_MS ||
      nowMs - resignedMs < RESIGN_AFTER_MS
    ) return;
    resignedMs = nowMs;
    host.resign("storeLost");
  }

  return { stop: options.ticker.every(HEARTBEAT_INTERVAL_MS, renewHeartbeat) };
}
