import { runCase } from "../lib3/run_case.mjs";

/** Stored jobs of one task, handed in at once. */
const JOBS = 60;
const WORK_MS = 2_500;
/** The disruption: one of eight minions is down, twice, never two at once. */
const DOWN_MS = 2_800;
const GAP_MS = 3_000;
/** How long clients ask for the states after the end of the traffic, in ms. */
const ASK_MS = 40_000;

/** Crashes the minion that runs the most tasks; it comes back as a new one. */
function crashBusiest({ machines, wait }) {
  const [machine] = machines.filter(({ life }) => life.isUp)
    .sort((one, other) => other.life.countRuns() - one.life.countRuns());
  machine.crash();
  wait(DOWN_MS).then(() => machine.start());
}

await runCase(import.meta.url, { seed: 1 }, async (world, hasTrouble) => {
  const { wait, jobs } = world;
  const ids = Array.from({ length: JOBS }, () => world.createId());
  await Promise.all(ids.map((id) =>
    world.submit(id, {
      spec: "spread",
      steps: [{ count: 1, cpu: 1_000, memMb: 64, estimateMs: WORK_MS }],
      workMs: () => WORK_MS,
    })
  ));
  await wait(600);
  if (hasTrouble) {
    crashBusiest(world);
    await wait(GAP_MS);
    crashBusiest(world);
  }
  const states = new Map();
  const untilMs = performance.now() + ASK_MS;
  while (performance.now() < untilMs) {
    let open = 0;
    for (const id of ids) {
      const state = states.get(id);
      if (state === "completed" || state === "failed") continue;
      if (!jobs.get(id).acceptedMs) continue;
      const answer = await world.askState(id);
      states.set(id, answer.body?.state ?? answer.status);
      if (states.get(id) !== "completed") open += 1;
    }
    if (open === 0) break;
    await wait(500);
  }
  const starts = world.listStarts();
  const broken = ids.filter((id) => states.get(id) === "failed").map((id) => {
    const runs = starts.filter(({ name }) => name.startsWith(id))
      .map(({ minion, how }) => `${minion} ${how}`);
    return `LOST: ${id} is shown as failed; its runs: ${runs.join(", ")}`;
  });
  const count = (state) =>
    [...states.values()].filter((one) => one === state).length;
  return {
    broken,
    notes: [
      `jobs accepted: ${states.size}, completed: ${
        count("completed")
      }, failed: ${count("failed")}`,
      `ends 'failed' on all minions: ${
        starts.filter(({ how }) => how === "failed").length
      }`,
    ],
  };
});
