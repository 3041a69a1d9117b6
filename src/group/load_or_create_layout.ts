import { readError } from "../errors/read_error.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { Table } from "../store/table.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { EventLog } from "../vm/event_log.ts";
import { computeLayout } from "./compute_layout.ts";
import type { GroupLayout } from "./group_layout.ts";

/** The row that says which groups there are; written once in a deployment's life. */
const LAYOUT_KEY = "chivegrade/layout";
/** Time between two looks for the row, in ms. */
const LOOK_MS = 400;
/** Time between two readings of the endpoints, in ms. Their list counts as whole when two have the same length: they register one after the other at first. */
const READ_MS = 1_000;
/** The list is taken as it is after this, in ms. */
const LONGEST_MS = 10_000;
/** Each place in the order of succession begins to read this much later, in ms: the list is large, and one reader is enough. */
const RANK_MS = 800;
/** Pause after a call of the store that failed, in ms. */
const AGAIN_MS = 200;

/** Agrees with all other VMs on the groups: the first to see the whole list of endpoints writes the row that the others read. */
export function loadOrCreateLayout(options: {
  table: Table;
  readEndpoints: () => Promise<EndpointRow[]>;
  /** Of this VM, while there is no order of succession. */
  successionRank: number;
  log: EventLog;
}): { layout: Promise<GroupLayout>; stop(): void } {
  const { table, log } = options;
  const beganMs = readMonotonicMs();
  let isStopped = false;
  let length = 0;
  let nextReadMs = beganMs + options.successionRank * RANK_MS;

  async function readLayout(): Promise<GroupLayout | undefined> {
    const { rows } = await table.scan(LAYOUT_KEY, 0);
    const row = rows.find(({ key }) => key === LAYOUT_KEY);
    return row?.value as GroupLayout | undefined;
  }

  /** Writes the layout once the list of endpoints has settled. */
  async function propose(): Promise<void> {
    if (readMonotonicMs() < nextReadMs) return;
    nextReadMs = readMonotonicMs() + READ_MS;
    const rows = await options.readEndpoints();
    const isWhole = rows.length > 0 && rows.length === length;
    length = rows.length;
    const isLate = readMonotonicMs() - beganMs > LONGEST_MS;
    if (!isWhole && !isLate) return;
    // Conflicts when another VM was faster; its row is read next.
    await table.transact([
      { type: "insert", key: LAYOUT_KEY, value: computeLayout(rows) },
    ]);
  }

  async function agree(): Promise<GroupLayout> {
    let isLost = false;
    while (!isStopped) {
      try {
        const layout = await readLayout();
        if (isLost) log("storeRegained", { watch: "layout" });
        isLost = false;
        if (layout) return layout;
        await propose();
        await waitMs(LOOK_MS);
      } catch (thrown) {
        const { message } = readError(thrown);
        if (!isLost) log("storeLost", { watch: "layout", message });
        isLost = true;
        await waitMs(AGAIN_MS);
      }
    }
    return { groups: {} };
  }

  return {
    layout: agree(),
    stop: () => {
      isStopped = true;
    },
  };
}
