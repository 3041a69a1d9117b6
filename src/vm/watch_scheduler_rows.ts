import { readError } from "../errors/read_error.ts";
import type { TableRow } from "../store/table_row.ts";
import { isPlainObject } from "../utils/is_plain_object.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "./event_log.ts";
import type { SchedulerRow } from "./scheduler_row.ts";
import { SCHEDULER_ROWS_PREFIX } from "./scheduler_rows_prefix.ts";
import type { WatchableTable } from "./watchable_table.ts";

/** Duration of one long poll for changes, in ms. */
const LONG_POLL_MS = 10_000;
/** Pause after a failed long poll, in ms. */
const RETRY_DELAY_MS = 200;

/** Watches the scheduler rows, one per group, which name the role holders. */
export function watchSchedulerRows(
  table: WatchableTable,
  options: {
    log: EventLog;
    /** Called with each row read or changed; `row.key` identifies the group. */
    onChange: (row: TableRow<SchedulerRow>) => void;
  },
): {
  /** Reads all rows at once; never rejects. */
  readNow(): Promise<void>;
  /** Whether the last read failed. */
  isLost(): boolean;
  stop(): void;
} {
  let revision = 0;
  let isStopped = false;
  let isLost = false;

  function forwardRows(rows: TableRow[]): void {
    for (const row of rows) {
      if (isPlainObject(row.value)) {
        options.onChange(row as TableRow<SchedulerRow>);
      }
    }
  }

  async function readNow(): Promise<void> {
    try {
      const scan = await table.scan(SCHEDULER_ROWS_PREFIX, 0);
      revision = Math.max(revision, scan.revision);
      forwardRows(scan.rows);
      if (isLost) options.log("storeRegained", { watch: "scheduler" });
      isLost = false;
    } catch (thrown) {
      const { message } = readError(thrown);
      if (!isLost) options.log("storeLost", { watch: "scheduler", message });
      isLost = true;
    }
  }

  async function watchRows(): Promise<void> {
    while (!isStopped) {
      try {
        const scan = await table.watch(SCHEDULER_ROWS_PREFIX, {
          sinceRevision: revision,
          waitMs: LONG_POLL_MS,
        });
        revision = Math.max(revision, scan.revision);
        forwardRows(scan.rows);
      } catch {
        await waitMs(RETRY_DELAY_MS);
        await readNow();
      }
    }
  }
  watchRows();

  return {
    readNow,
    isLost: () => isLost,
    stop: () => {
      isStopped = true;
    },
  };
}
