import { createId, runCase, wait, waitUntil } from "../lib/system.mjs";

const MINIONS = 4;
/** Time from the first starts to the outage, in ms. */
const BEFORE_OUTAGE_MS = 400;
/** Length of the outage, in ms. */
const OUTAGE_MS = 2_400;
const JOBS = 2;
/** Width of a job, in tasks. */
const TASKS = 1_900;
const RUN_MS = 60;

await runCase(async ({ start, record, isTrouble }) => {
  const system = await start({
    zones: ["dub-a", "cork-b", "gal-c"],
    minions: Array.from({ length: MINIONS }, (_, index) => ({
      id: `m${index}`,
      zone: ["dub-a", "cork-b", "gal-c", "dub-a"][index],
      labels: ["a", `r${index}`],
      cpu: 16_000,
      memMb: 65_536,
    })),
  });
  const { store, minions } = system;
  // A scheduler that has just begun holds new jobs back for a few seconds.
  await wait(4_000);
  const ids = Array.from({ length: JOBS }, (_, index) => createId(index + 1));
  const body = {
    spec: JSON.stringify({ ms: RUN_MS, how: "done" }),
    steps: [{ count: TASKS, cpu: 200, memMb: 64, estimateMs: RUN_MS }],
  };
  const replies = await Promise.all(
    ids.map((id, index) =>
      system.send(system.vms[index % 3], { method: "POST", id, body })
    ),
  );
  if (replies.some(({ status }) => status !== 200)) {
    throw new Error("a job was not accepted");
  }
  await waitUntil(() => system.listStarts().length > MINIONS, 5_000, 5);
  await wait(BEFORE_OUTAGE_MS);
  if (isTrouble) {
    record("store: down, answers 503");
    store.isDown = true;
    await wait(OUTAGE_MS);
    const listed = minions.map((minion) => minion.countEnds());
    record(`ends not taken note of, by minion: ${listed.join(", ")}`);
    store.isDown = false;
    record("store: back");
  }
  const isCompleted = async (id) => {
    const { text = "" } = await system.send(system.vms[2], { id });
    return text.includes("completed");
  };
  const areCompleted = async () =>
    (await Promise.all(ids.map(isCompleted))).every(Boolean);
  const isEnded = await waitUntil(areCompleted, 45_000, 1_000);
  await wait(2_000);

  const byTask = new Map();
  for (const one of system.listStarts()) {
    byTask.set(one.task, [...byTask.get(one.task) ?? [], one]);
  }
  const broken = [];
  let excused = 0;
  for (const [task, starts] of byTask) {
    const ends = starts.filter(({ how }) => how === "done");
    excused += ends.filter((one) => one.hasLapsedBefore).length;
    const done = starts.find(({ how, notedMs, hasLapsedBefore }) =>
      how === "done" && notedMs !== undefined && !hasLapsedBefore
    );
    const again = done &&
      starts.find(({ beganMs }) => beganMs > done.endedMs);
    if (!again) continue;
    broken.push(
      `TWICE ${task}: run ${done.runId} on ${done.minion} ended done, and ` +
        `${Math.round(again.beganMs - done.endedMs)} ms later run ` +
        `${again.runId} started on ${again.minion}; the end was taken note of`,
    );
  }
  const summary = `${byTask.size} tasks, ${system.listStarts().length} ` +
    `starts, ${excused} ends after which the lease lapsed; jobs shown as completed: ${isEnded}`;
  return { broken, summary };
});
