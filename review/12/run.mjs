import { runCase } from "../lib3/run_case.mjs";

/** With TROUBLE=0 the disruption is left out. */
const hasTrouble = process.env.TROUBLE !== "0";

/** Stored jobs of one task, handed in at once. */
const JOBS = 60;
const WORK_MS = 2_500;
/** The disruption: two of twelve minions are cut off, one after the other. */
const MACHINES = 12;
const CUT_MS = 5_500;
const GAP_MS = 2_200;
/** How long clients ask for the states after the end of the traffic, in ms. */
const ASK_MS = 40_000;

/** Cuts the minion off that runs the most tasks: each connection is reset. It runs on, and is back afterwards. */
function cutBusiest({ machines, wait }) {
  const [machine] = machines.filter(({ intercept }) => !intercept)
    .sort((one, other) => other.life.countRuns() - one.life.countRuns());
  machine.cut();
  wait(CUT_MS).then(machine.endCut);
}

const options = { hasTrouble, seed: 1, machines: MACHINES };
await runCase(import.meta.url, options, async (world) => {
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
    cutBusiest(world);
    await wait(GAP_MS);
    cutBusiest(world);
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
      `minions that ended: ${
        world.machines.filter(({ lives }) => lives > 1).length
      }`,
      `ends 'failed' on all minions: ${
        starts.filter(({ how }) => how === "failed").length
      }`,
    ],
  };
});
