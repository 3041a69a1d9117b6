import { runCase } from "../lib3/run_case.mjs";

/** With TROUBLE=0 the disruption is left out. */
const hasTrouble = process.env.TROUBLE !== "0";

/** Jobs of the first burst, two for each of the eight minions. */
const FIRST_JOBS = 16;
/** Jobs that clients hand in afterwards, with an estimate. */
const LATER_JOBS = 40;
const LATER_PER_S = 10;
const WORK_MS = 900;
const CPU = 6_800;
/** The rule: from `finish_s` after the traffic on, nothing runs for this long. */
const IDLE_MS = 3_000;
const SAMPLE_MS = 100;
/** How long after `finish_s` the minions are watched, in ms. */
const WATCH_MS = 10_000;

await runCase(import.meta.url, { hasTrouble, seed: 1 }, async (world) => {
  const { wait, jobs, bounds, machines } = world;
  const ids = [];
  function handIn(estimateMs) {
    const id = world.createId();
    ids.push(id);
    const step = { count: 1, cpu: CPU, memMb: 64 };
    // A field whose value is 0 is left out.
    if (estimateMs > 0) step.estimateMs = estimateMs;
    return world.submit(id, {
      spec: "proof",
      steps: [step],
      workMs: () => WORK_MS,
    });
  }
  const first = Array.from(
    { length: FIRST_JOBS },
    () => handIn(hasTrouble ? 0 : WORK_MS),
  );
  await Promise.all(first);
  await wait(3_000);
  const later = [];
  for (let count = 0; count < LATER_JOBS; count += 1) {
    later.push(handIn(WORK_MS));
    await wait(1_000 / LATER_PER_S);
  }
  await Promise.all(later);
  await wait(bounds.finish_s * 1_000);
  const idleSinceMs = new Map();
  const longestMs = new Map();
  let mostUsed = 0;
  const untilMs = performance.now() + WATCH_MS;
  while (performance.now() < untilMs) {
    const nowMs = performance.now();
    const names = machines.flatMap(({ life }) => life.listRuns());
    const running = new Set(names.map((name) => name.split(".")[0]));
    const total = machines.reduce((sum, { cpu }) => sum + cpu, 0);
    const used = names.length * CPU;
    mostUsed = Math.max(mostUsed, used / total);
    const hasRoom = used < total / 2 &&
      machines.some(({ life, cpu }) => cpu >= (life.countRuns() + 2) * CPU);
    const done = new Set(
      world.listStarts().filter(({ how }) => how === "done")
        .map(({ name }) => name.split(".")[0]),
    );
    for (const id of ids) {
      const isIdle = jobs.get(id).acceptedMs && !done.has(id) &&
        !running.has(id) && hasRoom;
      if (!isIdle) {
        idleSinceMs.delete(id);
        continue;
      }
      if (!idleSinceMs.has(id)) idleSinceMs.set(id, nowMs);
      const idleMs = nowMs - idleSinceMs.get(id);
      longestMs.set(id, Math.max(longestMs.get(id) ?? 0, idleMs));
    }
    await wait(SAMPLE_MS);
  }
  const states = {};
  const answers = {};
  for (const id of ids) {
    const { acceptedMs, attempts } = jobs.get(id);
    const last = attempts.at(-1).status;
    answers[last] = (answers[last] ?? 0) + 1;
    if (!acceptedMs) continue;
    const answer = await world.askState(id);
    const state = answer.body?.state ?? answer.status;
    states[state] = (states[state] ?? 0) + 1;
  }
  const broken = ids.filter((id) => (longestMs.get(id) ?? 0) > IDLE_MS)
    .map((id) =>
      `LOST: later than ${bounds.finish_s} s after the traffic ${id} has nothing running for ${
        Math.round(longestMs.get(id))
      } ms`
    );
  return {
    broken,
    notes: [
      `answers to POST: ${JSON.stringify(answers)}`,
      `states of accepted jobs at the end: ${JSON.stringify(states)}`,
      `largest share of the capacity in use meanwhile: ${mostUsed.toFixed(3)}`,
    ],
  };
});
