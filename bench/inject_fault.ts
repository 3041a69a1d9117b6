import { match } from "ts-pattern";
import type { BenchSystem } from "./bench_system.ts";
import type { Scenario } from "./scenario.ts";

/** Slowness of an endpoint that has become a straggler. */
const STRAGGLER_SLOWNESS = 5;
/** Delay added to every request to a slow platform, in ms. */
const SLOW_PLATFORM_DELAY_MS = 100;
/** Number of endpoints that a fault of several endpoints affects. */
const FAULTY_ENDPOINTS = 3;

type FaultType = NonNullable<Scenario["faults"]>[number]["type"];

/** Injects a fault into a running system. A burst is part of the arrivals and needs nothing here. */
export async function injectFault(
  system: BenchSystem,
  type: FaultType,
): Promise<void> {
  const faultyUrls = system.endpointUrls.slice(0, FAULTY_ENDPOINTS);
  await match(type)
    .with(
      "failEndpoint",
      () => setBehaviour(faultyUrls.slice(0, 1), { mode: "fail" }),
    )
    .with("refuseEndpoints", () => setBehaviour(faultyUrls, { mode: "refuse" }))
    .with(
      "slowEndpoints",
      () => setBehaviour(faultyUrls, { slowness: STRAGGLER_SLOWNESS }),
    )
    .with("leaveEndpoints", () =>
      system.patch({
        endpoints: Object.fromEntries(
          faultyUrls.map((_, index) => [`e${index}`, { leaving: true }]),
        ),
      }))
    .with("killEntry", () => stopShardHolder(system))
    .with(
      "slowPlatform",
      () => setPlatformFaults(system, { delayMs: SLOW_PLATFORM_DELAY_MS }),
    )
    .with("platformDown", () => setPlatformFaults(system, { down: true }))
    .with("platformUp", () => setPlatformFaults(system, { down: false }))
    .with("burst", () => Promise.resolve())
    .exhaustive();
}

async function setBehaviour(urls: string[], change: object): Promise<void> {
  for (const url of urls) {
    await fetch(new URL("/behaviour", url), {
      method: "PUT",
      body: JSON.stringify(change),
    });
  }
}

async function setPlatformFaults(
  system: BenchSystem,
  faults: object,
): Promise<void> {
  await fetch(`${system.platformUrl}/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

/** Kills the entry that holds the first shard. */
async function stopShardHolder(system: BenchSystem): Promise<void> {
  const path = "/table/rows?prefix=live/shard/&since=0";
  const reply = await fetch(system.platformUrl + path);
  const { rows } = await reply.json();
  const { holder } = rows[0].value;
  system.entries.find((entry) => entry.ready.name === holder)?.signal(
    "SIGKILL",
  );
}
