import { createId, runCase, wait, waitUntil } from "../lib/system.mjs";

const MAX_ATTEMPTS = 3;
/** Jobs that can never be done. */
const JOBS = 6;
const TASKS = 8;
/** Jobs that can be done, handed in after the others. */
const SOUND_JOBS = 120;
/** A run of a task that can never be done ends failed after this, in ms. */
const RUN_MS = 300;
/** Other work occupies the first minions for this long, in ms. */
const OTHER_RUN_MS = 280;
const OTHER_TASKS = 3;
/** Longest outage, in ms; it is shorter if the second runs have failed sooner. */
const MAX_OUTAGE_MS = 4_500;
/** Time from the kill of the scheduler to the end of the outage, in ms. */
const KILL_LEAD_MS = 100;

await runCase(async ({ start, record, isTrouble }) => {
  const system = await start({
    zones: ["dub-a", "cork-b", "gal-c"],
    minions: Array.from({ length: 6 }, (_, index) => ({
      id: `m${index}`,
      zone: ["dub-a", "cork-b", "gal-c"][index % 3],
      labels: ["a", `r${index}`],
      cpu: 16_000,
      memMb: 65_536,
    })),
  });
  const { store } = system;
  // A scheduler that has just begun holds new jobs back for a few seconds.
  await wait(4_000);
  const scheduler = system.findScheduler();
  const others = system.vms.filter((vm) => vm !== scheduler);
  const ids = Array.from({ length: JOBS }, (_, index) => createId(index + 1));
  const body = {
    spec: JSON.stringify({ ms: RUN_MS, how: "failed" }),
    steps: [{ count: TASKS, cpu: 1_000, memMb: 64, estimateMs: RUN_MS }],
  };
  const other = system.send(others[0], {
    method: "POST",
    id: createId(100),
    body: {
      spec: JSON.stringify({ ms: OTHER_RUN_MS, how: "done" }),
      bestEffort: true,
      steps: [{
        count: OTHER_TASKS,
        cpu: 16_000,
        memMb: 64,
        estimateMs: OTHER_RUN_MS,
      }],
    },
  });
  await waitUntil(
    () => system.listStarts().length === OTHER_TASKS,
    2_000,
    2,
  );
  for (const [index, id] of ids.entries()) {
    const call = { method: "POST", id, body };
    const reply = await system.send(others[index % 2], call);
    if (reply.status !== 200) throw new Error("a job was not accepted");
  }
  const countTaskStarts = () => {
    const counts = new Map();
    for (const { task } of system.listStarts()) {
      counts.set(task, (counts.get(task) ?? 0) + 1);
    }
    return counts;
  };
  await waitUntil(
    () => countTaskStarts().size > OTHER_TASKS + JOBS,
    5_000,
    5,
  );
  if (isTrouble) {
    record("store: down, answers 503");
    store.isDown = true;
    const countTwiceFailed = () => {
      const failed = new Map();
      for (const { task, how } of system.listStarts()) {
        if (how === "failed") failed.set(task, (failed.get(task) ?? 0) + 1);
      }
      return [...failed.values()].filter((count) => count >= 2).length;
    };
    await waitUntil(
      () => countTwiceFailed() >= JOBS * TASKS / 2,
      MAX_OUTAGE_MS - KILL_LEAD_MS,
      5,
    );
    record(`${countTwiceFailed()} tasks have failed twice or more`);
    record(`${scheduler.name} is killed`);
    scheduler.child.kill("SIGKILL");
    await wait(KILL_LEAD_MS);
    store.isDown = false;
    record("store: back");
  }
  await other;
  // With these the jobs that fail are 6 of 127 that are handed in within 3 s.
  await wait(300);
  for (let index = 0; index < SOUND_JOBS; index += 1) {
    const sound = {
      spec: JSON.stringify({ ms: 60, how: "done" }),
      steps: [{ count: 1, cpu: 1_000, memMb: 64, estimateMs: 60 }],
    };
    const id = createId(200 + index);
    await system.send(others[index % 2], { method: "POST", id, body: sound });
  }
  const isFailed = async (id) =>
    (await system.send(others[0], { id })).text?.includes("failed");
  const areFailed = async () =>
    (await Promise.all(ids.map(isFailed))).every(Boolean);
  const isEnded = await waitUntil(areFailed, 25_000, 1_000);
  await wait(2_000);

  const broken = [];
  let excused = 0;
  const tasks = new Set(system.listStarts().map(({ task }) => task));
  for (const task of tasks) {
    const starts = system.listStarts().filter((one) => one.task === task);
    const failed = starts.filter(({ how, notedMs }) =>
      how === "failed" && notedMs !== undefined
    );
    excused += failed.filter((one) => one.hasLapsedBefore).length;
    const ends = failed.filter((one) => !one.hasLapsedBefore)
      .map(({ endedMs }) => endedMs)
      .sort((one, other) => one - other);
    const lastEndMs = ends[MAX_ATTEMPTS - 1];
    const extra = starts.find(({ beganMs }) => beganMs > lastEndMs);
    if (!extra) continue;
    const shown = starts.map(({ runId, minion, how }) =>
      `run ${runId} on ${minion} ${how}`
    ).join(", ");
    broken.push(
      `BUDGET ${task}: run ${extra.runId} starts ` +
        `${Math.round(extra.beganMs - lastEndMs)} ms after ${MAX_ATTEMPTS} ` +
        `runs had ended failed, all taken note of: ${shown}`,
    );
  }
  const summary = `${tasks.size} tasks, ${system.listStarts().length} ` +
    `starts, ${excused} ends after which the lease lapsed; ` +
    `jobs shown as failed: ${isEnded}`;
  return { broken, summary };
});
