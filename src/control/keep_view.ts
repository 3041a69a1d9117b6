import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import { readError } from "../errors/read_error.ts";
import { formatRowKey } from "../platform/format_row_key.ts";
import type { ScanResult } from "../platform/scan_result.ts";
import type { TableRow } from "../platform/table_row.ts";
import { waitMs } from "../utils/wait_ms.ts";
import type { ControlContext } from "./control_context.ts";
import { readVersion } from "./read_version.ts";
import { sendView } from "./send_view.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";

/** Prefix of every row that is polled. */
const LIVE_PREFIX = "live/";
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

async function pollRows(context: ControlContext): Promise<void> {
  const { table } = context.platform;
  const scan = await table.scan(LIVE_PREFIX, context.revision);
  context.metrics.increment("platform.poll");
  const head = scan.rows.find((row) => row.key === formatRowKey("head"));
  const version = (head?.value as { version: number } | undefined)?.version;
  if (version !== undefined && version > context.version) {
    await readVersion(context, version);
  }
  takeRows(context, scan);
  context.revision = scan.revision;
}

function takeRows(context: ControlContext, scan: ScanResult): void {
  const leases = pickRows<LeaseRow>(scan, formatRowKey("lease"));
  const shards = pickRows<ShardRow>(scan, formatRowKey("shard"));
  for (const row of leases) context.leases.set(row.key, row);
  for (const row of shards) context.shards.set(row.key, row);
  sendView(context, {
    version: context.version,
    configuration: "",
    leases,
    shards,
    leavingAddresses: context.leavingAddresses,
  });
}

function pickRows<Value>(scan: ScanResult, prefix: string): TableRow<Value>[] {
  return scan.rows
    .filter((row) => row.key.startsWith(prefix))
    .map((row) => ({
      ...row as TableRow<Value>,
      key: row.key.slice(prefix.length),
    }));
}
