import { createId, runCase, wait } from "../lib/system.mjs";

const JOBS = 4;
/** Jobs that are not cancelled, so that a quarter of all is. */
const OTHER_JOBS = 12;
const TASKS = 4;
const RUN_MS = 500;
const DEADLINE_MS = 1_500;
const CANCEL_MS = 3_000;
/** Length of the disruption of the store, in ms. */
const LOST_FOR_MS = 1_000;
/** Time after which a write without an answer is carried out, in ms. */
const LATE_MS = 5_800;
/** The core is stable, and calm machines are in touch, this long after the disruption, in ms. */
const CONTACT_MS = 3_000;

await runCase(async ({ start, record, isTrouble }) => {
  const system = await start({
    zones: ["dub-a", "cork-b", "gal-c"],
    minions: Array.from({ length: 8 }, (_, index) => ({
      id: `m${index}`,
      zone: ["dub-a", "cork-b", "gal-c"][index % 3],
      labels: ["a", `r${index}`],
      cpu: 16_000,
      memMb: 65_536,
    })),
  });
  const { store, vms } = system;
  // A scheduler that has just begun holds new jobs back for a few seconds.
  await wait(4_000);
  const ids = Array.from({ length: JOBS }, (_, index) => createId(index + 1));
  const body = {
    spec: JSON.stringify({ ms: RUN_MS, how: "done" }),
    steps: [{ count: TASKS, cpu: 1_000, memMb: 64, estimateMs: RUN_MS }],
  };
  for (let index = 0; index < OTHER_JOBS; index += 1) {
    const id = createId(100 + index);
    await system.send(vms[index % 3], { method: "POST", id, body });
  }
  const counts = { writes: 0, lost: 0 };
  const lostFromMs = performance.now();
  const lostUntilMs = lostFromMs + LOST_FOR_MS;
  if (isTrouble) {
    record(`store: for ${LOST_FOR_MS} ms answers to some writes are lost`);
    store.findLateMs = ({ setKeys = [] }) => {
      if (performance.now() > lostUntilMs) return undefined;
      counts.writes += 1;
      if (!setKeys.some(({ key }) => ids.includes(key))) return undefined;
      counts.lost += 1;
      return LATE_MS;
    };
  }
  const acks = new Map();
  const useJob = async (id, index) => {
    const vm = vms[index % vms.length];
    const post = { method: "POST", id, body, deadlineMs: DEADLINE_MS };
    await system.send(vm, post);
    // The client does not want the job any more, whether it was accepted or not.
    const other = vms[(index + 1) % vms.length];
    const { status } = await system.send(other, { method: "DELETE", id });
    if (status === 410 || status >= 200 && status < 300) {
      acks.set(id, performance.now());
    }
  };
  await Promise.all(ids.map(useJob));
  await wait(LATE_MS + 3_000);
  for (const id of ids) await system.send(vms[0], { id });

  const broken = [];
  for (const { task, minion, beganMs } of system.listStarts()) {
    const ackMs = acks.get(task.split(".")[0]);
    if (ackMs === undefined || beganMs < ackMs + CANCEL_MS) continue;
    if (isTrouble && beganMs < lostUntilMs + CONTACT_MS) continue;
    broken.push(
      `UNASKED ${task}: starts on ${minion} ` +
        `${Math.round(beganMs - ackMs)} ms after the cancelling was ` +
        `acknowledged, and ${Math.round(beganMs - lostUntilMs)} ms after the ` +
        "disruption of the store",
    );
  }
  const summary = `${acks.size} of ${JOBS} cancellings acknowledged, ` +
    `${counts.lost} of ${counts.writes} writes lost, ` +
    `${system.listStarts().length} starts`;
  return { broken, summary };
});
