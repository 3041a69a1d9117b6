import { runCase } from "../lib3/run_case.mjs";

/** Jobs of one task that clients hand in each second; about nine tenths of the capacity. */
const JOBS_PER_S = 20;
const WORK_MS = 900;
const CPU = 6_800;
/** Traffic before the disruption and after it, in ms. */
const BEFORE_MS = 2_500;
const AFTER_MS = 1_000;
/** The disruption as in the site file: `share = 0.1, gap_s = 1.4, for_s = 6.5`. */
const FLAP = { gapMs: 1_400, forMs: 6_500 };
/** How long clients ask for the states after the end of the traffic, in ms. */
const ASK_MS = 40_000;

const options = { seed: 1, machines: 10 };
await runCase(import.meta.url, options, async (world, hasTrouble) => {
  const { wait, jobs } = world;
  const ids = [];
  const answers = [];
  let isOpen = true;
  async function handIn() {
    while (isOpen) {
      const id = world.createId();
      ids.push(id);
      answers.push(world.submit(id, {
        spec: "spread",
        steps: [{ count: 1, cpu: CPU, memMb: 64, estimateMs: WORK_MS }],
        workMs: () => WORK_MS,
      }));
      await wait(1_000 / JOBS_PER_S);
    }
  }
  const clients = handIn();
  await wait(BEFORE_MS);
  // One of ten minions goes down and up by turns.
  const [machine] = world.machines;
  const untilMs = performance.now() + FLAP.forMs;
  while (performance.now() < untilMs) {
    if (hasTrouble) machine.crash();
    await wait(FLAP.gapMs / 2);
    if (hasTrouble) await machine.start();
    await wait(FLAP.gapMs / 2);
  }
  await wait(AFTER_MS);
  isOpen = false;
  await clients;
  await Promise.all(answers);
  const states = new Map();
  const askUntilMs = performance.now() + ASK_MS;
  while (performance.now() < askUntilMs) {
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
