import { readError } from "../errors/read_error.ts";
import type { TableRow } from "../store/table_row.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "./event_log.ts";
import { ROW_KEYS } from "./row_keys.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import type { WatchedTable } from "./watched_table.ts";

/** How long one watch waits for a change, in ms. */
const WATCH_MS = 10_000;
/** Pause after a watch that failed, in ms. */
const AGAIN_MS = 200;

/** Watches the row that says who places tasks. */
export function followSchedulerRow(
  table: WatchedTable,
  options: {
    log: EventLog;
    changed: (row: TableRow<SchedulerRow>) => void;
  },
): {
  readNow(): Promise<void>;
  /** Whether the last reading failed. */
  isLost(): boolean;
  stop(): void;
} {
  let revision = 0;
  let isStopped = false;
  let isLost = false;

  function take(rows: TableRow[]): void {
    const row = rows.find((one) => one.key === ROW_KEYS.scheduler);
    if (row) options.changed(row as TableRow<SchedulerRow>);
  }

  async function readNow(): Promise<void> {
    try {
      const scan = await table.scan(ROW_KEYS.scheduler, 0);
      revision = Math.max(revision, scan.revision);
      take(scan.rows);
      if (isLost) options.log("storeRegained", { watch: "scheduler" });
      isLost = false;
    } catch (thrown) {
      const { message } = readError(thrown);
      if (!isLost) options.log("storeLost", { watch: "scheduler", message });
      isLost = true;
    }
  }

  async function follow(): Promise<void> {
    while (!isStopped) {
      try {
        const scan = await table.watch(ROW_KEYS.scheduler, {
          sinceRevision: revision,
          waitMs: WATCH_MS,
        });
        revision = Math.max(revision, scan.revision);
        take(scan.rows);
      } catch {
        await waitMs(AGAIN_MS);
        await readNow();
      }
    }
  }
  follow();

  return {
    readNow,
    isLost: () => isLost,
    stop: () => {
      isStopped = true;
    },
  };
}
