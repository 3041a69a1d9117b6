import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "smol-toml";
import { computeDigest } from "../src/utils/compute_digest.ts";
import { waitMs } from "../src/utils/wait_ms.ts";
import type { SpawnedProcess } from "../test/fixtures/spawn_process.ts";
import { spawnProcess } from "../test/fixtures/spawn_process.ts";
import type { BenchSystem } from "./bench_system.ts";
import type { Scenario } from "./scenario.ts";

const ANY_PORT = "127.0.0.1:0";
/** Number of processes that host the endpoint stand-ins. */
const ENDPOINT_PROCESSES = 3;
/** Time before the load in which the shards are distributed among the entries, in ms. */
const SETTLE_MS = 2_500;

/** Starts the processes that a scenario needs, all on loopback. `policy` overrides the policy of the scenario. */
export async function startSystem(
  scenario: Scenario,
  options: { seed: number; policy: object; isNaive: boolean },
): Promise<BenchSystem> {
  if (options.isNaive) return await startNaiveSystem(scenario);
  const folder = mkdtempSync(join(tmpdir(), "chivegrade-bench-"));
  const platform = await spawnProcess("stand_ins", ["platform"]);
  const hosts = await startEndpointHosts(scenario, "refuse");
  const endpointUrls = hosts.flatMap((host) => host.ready.ready.split(","));
  const common = { dataCentre: "north", platformUrl: platform.ready.ready };
  const processes: SpawnedProcess[] = [platform, ...hosts];

  async function startRole(name: string, settings: object) {
    const file = join(folder, `${name}.toml`);
    const text = { ...common, logLevel: "error", ...settings };
    writeFileSync(file, stringify(text));
    const role = (settings as { role: string }).role;
    const started = await spawnProcess("chivegrade", [role, file]);
    processes.push(started);
    return started;
  }

  const control = await startRole("control", {
    role: "control",
    operatorAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    bootstrapTokenDigest: computeDigest("ada-token"),
  });
  let version = 0;
  async function postPatch(change: object): Promise<void> {
    const reply = await fetch(`${control.ready.ready}/patches`, {
      method: "POST",
      headers: { authorization: "Bearer ada-token" },
      body: JSON.stringify({
        base: version,
        patchId: `bench-${version}`,
        patch: change,
        force: true,
      }),
    });
    if (!reply.ok) throw new Error(await reply.text());
    version += 1;
  }

  await postPatch(createFirstPatch(scenario, endpointUrls, options.policy));
  const entries: SpawnedProcess[] = [];
  for (let index = 0; index < scenario.entries; index += 1) {
    entries.push(
      await startRole(`entry-${index}`, {
        role: "entry",
        callerAddress: ANY_PORT,
        peerAddress: ANY_PORT,
        controlAddress: control.ready.name,
        seed: options.seed + index,
      }),
    );
  }
  await waitMs(SETTLE_MS);
  const exited = new Set<SpawnedProcess>();
  for (const entry of entries) entry.exited.then(() => exited.add(entry));
  return {
    urls: () =>
      entries.filter((entry) => !exited.has(entry))
        .map((entry) => entry.ready.ready),
    entries,
    control,
    platformUrl: platform.ready.ready,
    endpointUrls,
    patch: postPatch,
    stop: () => {
      for (const child of processes) child.signal("SIGKILL");
    },
  };
}

/** Starts the naive version: every entry sends to every endpoint, and endpoints queue tasks while their slots are taken. */
async function startNaiveSystem(scenario: Scenario): Promise<BenchSystem> {
  const platform = await spawnProcess("stand_ins", ["platform"]);
  const hosts = await startEndpointHosts(scenario, "queue");
  const endpointUrls = hosts.flatMap((host) => host.ready.ready.split(","));
  const entries: SpawnedProcess[] = [];
  for (let index = 0; index < scenario.entries; index += 1) {
    entries.push(await spawnProcess("naive", endpointUrls));
  }
  return {
    urls: () => entries.map((entry) => entry.ready.ready),
    entries,
    platformUrl: platform.ready.ready,
    endpointUrls,
    patch: () => Promise.resolve(),
    stop: () => {
      for (const child of [platform, ...hosts, ...entries]) {
        child.signal("SIGKILL");
      }
    },
  };
}

function createFirstPatch(
  scenario: Scenario,
  endpointUrls: string[],
  policy: object,
): object {
  const slots = scenario.endpoints.flatMap((group) =>
    Array.from({ length: group.count }, () => group.slots)
  );
  const client = (name: string) => ({
    tokenDigest: computeDigest(`${name}-token`),
    homeDataCentre: "north",
  });
  return {
    dataCentres: { north: { shards: scenario.shards } },
    operators: { ada: { tokenDigest: computeDigest("ada-token") } },
    clients: { guild: client("guild"), flood: client("flood") },
    endpoints: Object.fromEntries(
      endpointUrls.map((url, index) => [`e${index}`, {
        url,
        dataCentre: "north",
        services: ["proof"],
        slots: slots[index],
        connections: Math.max(64, slots[index]),
      }]),
    ),
    policy: { ...scenario.policy, ...policy },
  };
}

/** Starts the processes that together host all endpoints. */
async function startEndpointHosts(
  scenario: Scenario,
  overflow: "refuse" | "queue",
): Promise<SpawnedProcess[]> {
  const specifications = scenario.endpoints.flatMap((group) =>
    Array.from(
      { length: group.count },
      () => `${group.slots}:${group.slowness}`,
    )
  );
  const perProcess = Math.ceil(specifications.length / ENDPOINT_PROCESSES);
  const hosts: SpawnedProcess[] = [];
  for (let start = 0; start < specifications.length; start += perProcess) {
    const specification = specifications.slice(start, start + perProcess).join(
      ",",
    );
    hosts.push(
      await spawnProcess("stand_ins", [
        "endpoints",
        "--specification",
        specification,
        "--overflow",
        overflow,
      ]),
    );
  }
  return hosts;
}
