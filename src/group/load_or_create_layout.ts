import { readError } from "../errors/read_error.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import { computeLayout } from "./compute_layout.ts";
import type { GroupLayout } from "./group_layout.ts";

/** Key of the row that holds the layout; it is written once in the life of a deployment. */
const LAYOUT_KEY = "chivegrade/layout";
/** Time between two checks for the layout row, in ms. */
const LAYOUT_POLL_INTERVAL_MS = 400;
/** Time between two reads of the endpoints, in ms. Endpoints register one after the other at first, so their list counts as complete when two reads return the same number. */
const ENDPOINTS_READ_INTERVAL_MS = 1_000;
/** After this the layout is computed from the endpoints read so far, even if their list still grows, in ms. */
const MAX_WAIT_MS = 10_000;
/** Delay before the first read of the endpoints per succession rank, in ms: the list is large, and one VM that reads it is enough. */
const DELAY_PER_RANK_MS = 800;
/** Pause before a failed store call is repeated, in ms. */
const RETRY_DELAY_MS = 200;

/** Loads the deployment's group layout, or creates it: the first VM that reads a complete list of endpoints writes the layout row, and all other VMs read it. */
export function loadOrCreateLayout(options: {
  table: Table;
  readEndpoints: () => Promise<EndpointRow[]>;
  /** Succession rank of this VM before a scheduler has sent the succession order. */
  successionRank: number;
  log: EventLog;
}): { layout: Promise<GroupLayout>; stop(): void } {
  const { table, log } = options;
  const startedMs = readMonotonicMs();
  let isStopped = false;
  let lastCount = 0;
  let nextReadMs = startedMs + options.successionRank * DELAY_PER_RANK_MS;

  async function readLayout(): Promise<GroupLayout | undefined> {
    const { rows } = await table.scan(LAYOUT_KEY, 0);
    const row = rows.find(({ key }) => key === LAYOUT_KEY);
    return row?.value as GroupLayout | undefined;
  }

  /** Writes the layout once the list of endpoints is complete or the wait for it is over. */
  async function proposeLayout(): Promise<void> {
    if (readMonotonicMs() < nextReadMs) return;
    nextReadMs = readMonotonicMs() + ENDPOINTS_READ_INTERVAL_MS;
    const rows = await options.readEndpoints();
    const isComplete = rows.length > 0 && rows.length === lastCount;
    lastCount = rows.length;
    const isOverdue = readMonotonicMs() - startedMs > MAX_WAIT_MS;
    if (!isComplete && !isOverdue) return;
    // A conflict means that another VM has written the row, which the next
    // check reads.
    await table.transact([
      { type: "insert", key: LAYOUT_KEY, value: computeLayout(rows) },
    ]);
  }

  async function waitForLayout(): Promise<GroupLayout> {
    let isStoreLost = false;
    while (!isStopped) {
      try {
        const layout = await readLayout();
        if (isStoreLost) log("storeRegained", { watch: "layout" });
        isStoreLost = false;
        if (layout) return layout;
        await proposeLayout();
        await waitMs(LAYOUT_POLL_INTERVAL_MS);
      } catch (thrown) {
        const { message } = readError(thrown);
        if (!isStoreLost) log("storeLost", { watch: "layout", message });
        isStoreLost = true;
        await waitMs(RETRY_DELAY_MS);
      }
    }
    return { groups: {} };
  }

  return {
    layout: waitForLayout(),
    stop: () => {
      isStopped = true;
    },
  };
}
