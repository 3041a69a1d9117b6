import { match } from "ts-pattern";
import type { BenchSystem } from "./bench_system.ts";
import type { Scenario } from "./scenario.ts";

const STRAGGLER_FACTOR = 5;
const SLOW_PLATFORM_MS = 100;
const SEVERAL = 3;

type Act = NonNullable<Scenario["faults"]>[number]["act"];

/** Makes one thing go wrong in a running system. */
export async function injectFault(
  system: BenchSystem,
  act: Act,
): Promise<void> {
  const several = system.endpointUrls.slice(0, SEVERAL);
  await match(act)
    .with(
      "failEndpoint",
      () => setBehaviour(several.slice(0, 1), { mode: "fail" }),
    )
    .with("refuseEndpoints", () => setBehaviour(several, { mode: "refuse" }))
    .with(
      "slowEndpoints",
      () => setBehaviour(several, { slowness: STRAGGLER_FACTOR }),
    )
    .with("leaveEndpoints", () =>
      system.patch({
        endpoints: Object.fromEntries(
          several.map((_, index) => [`e${index}`, { leaving: true }]),
        ),
      }))
    .with("killEntry", () => stopHolder(system))
    .with(
      "slowPlatform",
      () => setFaults(system, { delayMs: SLOW_PLATFORM_MS }),
    )
    .with("platformDown", () => setFaults(system, { down: true }))
    .with("platformUp", () => setFaults(system, { down: false }))
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

async function setFaults(system: BenchSystem, faults: object): Promise<void> {
  await fetch(`${system.platformUrl}/faults`, {
    method: "POST",
    body: JSON.stringify(faults),
  });
}

async function stopHolder(system: BenchSystem): Promise<void> {
  const path = "/table/rows?prefix=live/shard/&since=0";
  const reply = await fetch(system.platformUrl + path);
  const { rows } = await reply.json();
  const { holder } = rows[0].value;
  system.entries.find((entry) => entry.ready.name === holder)?.signal(
    "SIGKILL",
  );
}
