import { readError } from "../errors/read_error.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { HeartbeatRow } from "./heartbeat_row.ts";
import type { EventLog } from "./event_log.ts";
import type { SchedulerHost } from "./scheduler_host.ts";
import type { Ticker } from "./ticker.ts";
import type { WatchableTable } from "./watchable_table.ts";

/** Time between two beats, in ms. */
const BEAT_MS = 100;
/** A scheduler that could not write a beat for this long asks another VM to take over, in ms. */
const RESIGN_MS = 2_000;

/** Writes the scheduler's beat to the store, and resigns while the store is lost to this VM. */
export function keepBeat(options: {
  table: WatchableTable;
  ticker: Ticker;
  /** Of the group's beat. */
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
      // A later holder beats; this one learns of it from the scheduler's row.
      if (known && known.epoch > epoch) return;
      revision = row?.revision ?? 0;
    }
    const beganMs = readMonotonicMs();
    const value: HeartbeatRow = {
      epoch,
      storeMs: beganMs + offsetMs,
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
    host.confirmRole(beganMs);
  }

  async function renewBeat(): Promise<void> {
    const host = findHost();
    if (!host) {
      writtenMs = readMonotonicMs();
      revision = undefined;
      isReachable = true;
      return;
    }
    if (isBusy) {
      review(host);
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
    review(host);
  }

  function review(host: SchedulerHost): void {
    const nowMs = readMonotonicMs();
    if (nowMs - writtenMs < RESIGN_MS || nowMs - resignedMs < RESIGN_MS) return;
    resignedMs = nowMs;
    host.resign("storeLost");
  }

  return { stop: options.ticker.every(BEAT_MS, renewBeat) };
}
