import { runCase } from "../lib3/run_case.mjs";

/** Bandwidths of the links of the machines: the scheduler's and the others'. */
const FAST_MBPS = 140;
const SLOW_MBPS = 13.3;
/** The disruption: `big_config` with `count = 1400`, twice. */
const ROUTES = 1_400;
const CHANGES = 2;
const CHANGE_GAP_MS = 8_000;
/** How long the routes are asked for after the last change, in ms. */
const ASK_MS = 20_000;
const ASK_GAP_MS = 250;

const options = { seed: 1, daemons: 6, bounds: { configApplyMs: 3_000 } };
await runCase(import.meta.url, options, async (world, hasTrouble) => {
  const { wait, bounds, daemons, record } = world;
  const scheduler = world.findScheduler();
  for (const daemon of daemons) {
    daemon.link.mbps = daemon === scheduler ? FAST_MBPS : SLOW_MBPS;
  }
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
