import { runCase } from "../lib3/run_case.mjs";

/** With TROUBLE=0 the disruption is left out. */
const hasTrouble = process.env.TROUBLE !== "0";

/** Machines of the sheet, the largest and the smallest, in its order: cores, memory, descriptors, bandwidth. */
const LARGE = { cpuShare: 1.35, memoryMb: 602, maxFds: 10_250, linkMbps: 140 };
const SMALL = { cpuShare: 0.243, memoryMb: 210, maxFds: 2_212, linkMbps: 13.3 };
/** Bounds of the sheet, where they differ from those of the small deployment. */
const BOUNDS = {
  contactMs: 4_000,
  ackMs: 6_000,
  catchupS: 6,
  drainMs: 3_000,
  configApplyMs: 3_000,
  maxStretchMs: 6_000,
  recoveryS: 15,
  gangTimeoutMs: 4_000,
  cancel_ms: 4_000,
  noticeMs: 5_500,
  harmMs: 4_500,
};
/** The disruption: `big_config` with `count = 1400`, three times. */
const ROUTES = 1_400;
const CHANGES = 3;
const CHANGE_GAP_MS = 8_000;
/** How long the routes are asked for after the last change, in ms. */
const ASK_MS = 12_000;
const ASK_GAP_MS = 250;

const options = {
  hasTrouble,
  seed: 1,
  daemons: 6,
  limits: [LARGE, LARGE, LARGE, SMALL, SMALL, SMALL],
  bounds: BOUNDS,
};
await runCase(import.meta.url, options, async (world) => {
  const { wait, bounds, daemons, record } = world;
  const names = [];
  let version = 1;
  function change(count) {
    for (let added = 0; added < count; added += 1) {
      names.push(`q${String(names.length).padStart(7, "0")}`);
    }
    version += 1;
    world.configure(version, { names });
    record("configuration", { version, routes: names.length });
    return performance.now();
  }
  let ackedMs = 0;
  for (let count = 0; count < CHANGES; count += 1) {
    if (count > 0) await wait(CHANGE_GAP_MS);
    ackedMs = change(hasTrouble ? ROUTES : 1);
  }
  const newest = names.at(-1);
  const broken = [];
  const notes = [];
  const untilMs = performance.now() + ASK_MS;
  while (performance.now() < untilMs) {
    await wait(ASK_GAP_MS);
    for (const daemon of daemons) {
      const lateMs = performance.now() - ackedMs;
      const { status } = await world.countPending(daemon, newest);
      if (lateMs <= bounds.configApplyMs || status !== 404) continue;
      broken.push(
        `CONFIG: ${daemon.name} refuses a request with 404 that was sent ${
          Math.round(lateMs)
        } ms after the acknowledgement of version ${version}, which has the route`,
      );
    }
  }
  const last = new Set(broken.slice(-20).map((line) => line.split(" ")[1]));
  notes.push(`requests answered so: ${broken.length}`);
  notes.push(`daemons that still did so at the end: ${[...last].join(" ")}`);
  return { broken: [...broken.slice(0, 5), ...broken.slice(-5)], notes };
});
