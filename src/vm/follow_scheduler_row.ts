import { readError } from "../errors/read_error.ts";
import type { TableRow } from "../store/table_row.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "./event_log.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import { SCHEDULER_ROWS_PREFIX } from "./scheduler_rows_prefix.ts";
import type { WatchableTable } from "./watchable_table.ts";

/** How long one watch waits for a change, in ms. */
const WATCH_MS = 10_000;
/** Pause after a watch that failed, in ms. */
const AGAIN_MS = 200;

/** Watches the rows that say who places tasks, one a group. */
export function followSchedulerRow(
  table: WatchableTable,
  options: {
    log: EventLog;
    /** Told of each group's row; `row.key` tells the group. */
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
    for (const row of rows) {
      if (row.value !== undefined) {
        options.changed(row as TableRow<SchedulerRow>);
      }
    }
  }

  async function readNow(): Promise<void> {
    try {
      const scan = await table.scan(SCHEDULER_ROWS_PREFIX, 0);
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
        const scan = await table.watch(SCHEDULER_ROWS_PREFIX, {
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
