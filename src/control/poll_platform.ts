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

/** Width of the random variation of the poll interval, as a fraction of it. */
const POLL_JITTER = 0.4;
/** Number of polls per read of the membership list. */
const POLLS_PER_MEMBERSHIP_READ = 3;

/**
 * Polls the platform on behalf of all entries of the VM, and sends them the
 * changes, until the daemon stops.
 */
export async function pollPlatform(context: ControlContext): Promise<void> {
  let polls = 0;
  while (!context.stopped) {
    try {
      if (polls % POLLS_PER_MEMBERSHIP_READ === 0) await readMembers(context);
      await pollRows(context);
      recordSuccess(context);
    } catch (thrown) {
      recordFailure(context, readError(thrown).message);
    }
    polls += 1;
    const { pollMs } = context.settings;
    await waitMs(pollMs * (1 - POLL_JITTER / 2 + POLL_JITTER * Math.random()));
  }
}

/** Marks the platform as reachable. Logs the end of an outage once. */
function recordSuccess(context: ControlContext): void {
  context.lastResponseAtMs = readMonotonicMs();
  if (context.isPlatformReachable) return;
  context.isPlatformReachable = true;
  context.logger.info("platformRead");
}

/** Marks the platform as unreachable. Logs an outage once, at its first failed poll. */
function recordFailure(context: ControlContext, message: string): void {
  if (!context.isPlatformReachable) return;
  context.isPlatformReachable = false;
  context.logger.warn("platformNotRead", { message });
}

async function readMembers(context: ControlContext): Promise<void> {
  const members = await context.platform.readMembers();
  context.leavingAddresses = members
    .filter((member) => member.state === "leaving")
    .map((member) => member.address);
}

/**
 * Reads the version head, the shard rows of all data centres, and the lease
 * rows of this data centre. Leases of other data centres are left out, because
 * lease rows change most often.
 */
async function pollRows(context: ControlContext): Promise<void> {
  const { dataCentre } = context.settings;
  const shards = await readRows<ShardRow>(context, formatRowKey("shard"));
  const leases = await readRows<LeaseRow>(
    context,
    formatRowKey("lease", `${dataCentre}/`),
  );
  applyRows(context, { leases: leases.rows, shards: shards.rows });
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

/**
 * Reads the rows with a key prefix that changed since the last confirmed read,
 * and removes the prefix from their keys. `confirm` is called after the rows
 * have been applied; without it, the next read returns them again.
 */
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

function applyRows(
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
