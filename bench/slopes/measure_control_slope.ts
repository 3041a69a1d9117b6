import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "smol-toml";
import type { LeaseRow } from "../../src/decide/own/lease_row.ts";
import { formatRowKey } from "../../src/store/format_row_key.ts";
import type { ScanResult } from "../../src/store/scan_result.ts";
import { computeDigest } from "../../src/utils/compute_digest.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import { spawnProcess } from "../../test/fixtures/spawn_process.ts";
import { readProcessUsage } from "../read_process_usage.ts";
import { createSlope } from "./create_slope.ts";
import type { Slope } from "./slope.ts";

/** Duration of the measurement, in ms. */
const MEASUREMENT_MS = 10_000;
/** Time before the measurement in which the daemon reads the configuration and the leases, in ms. */
const WARM_UP_MS = 3_000;
/** Interval at which an entry renews a lease of the default duration, in ms. */
const RENEWAL_INTERVAL_MS = 1_000;
/** Data centres over which the entries are distributed; the control daemon is in the first. */
const DATA_CENTRES = ["north", "d2", "d3", "d4", "d5", "d6"];
const BYTES_PER_MB = 1_048_576;
const ENDPOINTS_PER_ENTRY = 11;

/** Measures the CPU time, memory and traffic of a control daemon by the number of entries in the system. */
export async function measureControlSlope(): Promise<Slope> {
  const points: Slope["points"] = [];
  for (const size of [20, 60, 120]) {
    points.push({ size, values: await measure(size) });
  }
  return createSlope(
    "control daemon, six data centres, every lease renewed once a second",
    "entries",
    points,
  );
}

async function measure(entries: number): Promise<Record<string, number>> {
  const platform = await spawnProcess("stand_ins", ["platform"]);
  const url = platform.ready.ready;
  const control = await startControl(url);
  await postPatch(control.ready.ready, createConfiguration(entries));
  const renewals = setInterval(
    () => renewLeases(url, entries),
    RENEWAL_INTERVAL_MS,
  );
  await waitMs(WARM_UP_MS);
  const before = {
    ...readProcessUsage(control.pid),
    bytes: readBytes(control.pid),
  };
  await waitMs(MEASUREMENT_MS);
  const after = {
    ...readProcessUsage(control.pid),
    bytes: readBytes(control.pid),
  };
  clearInterval(renewals);
  control.signal("SIGKILL");
  platform.signal("SIGKILL");
  return {
    cores: (after.cpuMs - before.cpuMs) / MEASUREMENT_MS,
    rssMb: after.rssBytes / BYTES_PER_MB,
    kbPerSecond: (after.bytes - before.bytes) / MEASUREMENT_MS,
    configurationKb: JSON.stringify(createConfiguration(entries)).length /
      1_000,
  };
}

async function startControl(platformUrl: string) {
  const folder = mkdtempSync(join(tmpdir(), "chivegrade-bench-"));
  const file = join(folder, "control.toml");
  writeFileSync(
    file,
    stringify({
      role: "control",
      dataCentre: "north",
      platformUrl,
      operatorAddress: "127.0.0.1:0",
      peerAddress: "127.0.0.1:0",
      logLevel: "error",
      bootstrapTokenDigest: computeDigest("ada-token"),
    }),
  );
  return await spawnProcess("chivegrade", ["control", file]);
}

async function postPatch(url: string, change: object): Promise<void> {
  const reply = await fetch(`${url}/patches`, {
    method: "POST",
    headers: { authorization: "Bearer ada-token" },
    body: JSON.stringify({ base: 0, patchId: "first", patch: change }),
  });
  if (!reply.ok) throw new Error(await reply.text());
}

/** Creates a configuration with 11 endpoints per entry and 200 clients. */
function createConfiguration(entries: number): object {
  const endpoints = Array.from(
    { length: entries * ENDPOINTS_PER_ENTRY },
    (_, index) => [`e${index}`, {
      url: `http://10.0.${index % 250}.1:80/tasks`,
      dataCentre: "north",
      services: ["proof"],
    }],
  );
  const clients = Array.from({ length: 200 }, (_, index) => [`c${index}`, {
    tokenDigest: "0".repeat(64),
    homeDataCentre: "north",
  }]);
  return {
    dataCentres: { north: { shards: 4 } },
    endpoints: Object.fromEntries(endpoints),
    clients: Object.fromEntries(clients),
  };
}

/** Renews the lease rows of all entries in one transaction. */
async function renewLeases(url: string, entries: number): Promise<void> {
  const prefix = formatRowKey("lease", "");
  const scan = await fetch(`${url}/table/rows?prefix=${prefix}&since=0`);
  const { rows, atMs } = await scan.json() as ScanResult;
  const operations = Array.from({ length: entries }, (_, index) => {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length];
    const key = formatRowKey("lease", `${dataCentre}/10.0.0.${index}:7401`);
    const row = rows.find((one) => one.key === key);
    const value = createLease(index, atMs);
    return row
      ? { type: "replace", key, value, revision: row.revision }
      : { type: "insert", key, value };
  });
  const reply = await fetch(`${url}/table/transactions`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ operations }),
  });
  const { type } = await reply.json();
  if (type !== "committed") {
    throw new Error("the transaction that renews the leases was not committed");
  }
}

function createLease(index: number, atMs: number): LeaseRow {
  return {
    incarnation: "00000000-0000-4000-8000-000000000000",
    address: `10.0.0.${index}:7401`,
    controlAddress: `10.0.0.${index}:7501`,
    dataCentre: "north",
    weight: 1,
    state: "live",
    leaseMs: 10_000,
    ackedAtMs: atMs,
    coveredUntilMs: atMs,
    clean: false,
  };
}

/** Reads the bytes that a process has read and written; for a control daemon this is its network traffic. */
function readBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  const readField = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(text)?.[1] ?? 0);
  return readField("rchar") + readField("wchar");
}
