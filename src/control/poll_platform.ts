import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import { readError } from "../errors/read_error.ts";
import { formatRowKey } from "../store/format_row_key.ts";
import type { TableRow } from "../store/table_row.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { ControlContext } from "./control_context.ts";
import { readVersion } from "./read_version.ts";
import { sendView } from "./send_view.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Jitter of the poll, as a share of its period. */
const JITTER = 0.4;
/** Polls between two reads of the membership list. */
const POLLS_PER_MEMBERS = 3;

/** Polls the platform for the whole VM until the daemon stops. */
export async function keepView(context: ControlContext): Promise<void> {
  let polls = 0;
  while (!context.stopped) {
    try {
      if (polls % POLLS_PER_MEMBERS === 0) await readMembers(context);
      await pollRows(context);
      recordRead(context);
    } catch (thrown) {
      recordSilence(context, readError(thrown).message);
    }
    polls += 1;
    const { pollMs } = context.settings;
    await waitMs(pollMs * (1 - JITTER / 2 + JITTER * Math.random()));
  }
}

function recordRead(context: ControlContext): void {
  context.heardAtMs = readMonotonicMs();
  if (context.isPlatformRead) return;
  context.isPlatformRead = true;
  context.logger.info("platformRead");
}

/** An outage is logged once, when it begins. */
function recordSilence(context: ControlContext, message: string): void {
  if (!context.isPlatformRead) return;
  context.isPlatformRead = false;
  context.logger.warn("platformNotRead", { message });
}

async function readMembers(context: ControlContext): Promise<void> {
  const members = await context.platform.readMembers();
  context.leavingAddresses = members
    .filter((member) => member.state === "leaving")
    .map((member) => member.address);
}

/** The head and the shards of all data centres, but the leases of this one only: they change most. */
async function pollRows(context: ControlContext): Promise<void> {
  const { dataCentre } = context.settings;
  const shards = await readRows<ShardRow>(context, formatRowKey("shard"));
  const leases = await readRows<LeaseRow>(
    context,
    formatRowKey("lease", `${dataCentre}/`),
  );
  takeRows(context, { leases: leases.rows, shards: shards.rows });
  shards.confirm();
  leases.confirm();
  const head = await readRows<{ version: number }>(
    context,
    formatRowKey("head"),
  );
  const version = head.rows[0]?.value.version;
  if (version !== undefined && version > context.version) {
    await readVersion(context, version);
  }
  head.confirm();
  context.metrics.increment("platform.poll");
}

/** Reads the rows under a prefix that changed since the last reading that was confirmed; their keys lose the prefix. */
async function readRows<Value>(
  context: ControlContext,
  prefix: string,
): Promise<{ rows: TableRow<Value>[]; confirm: () => void }> {
  const since = context.revisions.get(prefix) ?? 0;
  const scan = await context.platform.table.scan(prefix, since);
  const rows = scan.rows.map((row) => ({
    ...row as TableRow<Value>,
    key: row.key.slice(prefix.length),
  }));
  const confirm = () => {
    context.revisions.set(prefix, scan.revision);
  };
  return { rows, confirm };
}

function takeRows(
  context: ControlContext,
  rows: { leases: TableRow<LeaseRow>[]; shards: TableRow<ShardRow>[] },
): void {
  for (const row of rows.leases) context.leases.set(row.key, row);
  for (const row of rows.shards) context.shards.set(row.key, row);
  sendView(context, {
    version: context.version,
    configuration: "",
    ...rows,
    leavingAddresses: context.leavingAddresses,
  });
}
