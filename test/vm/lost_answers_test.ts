import assert from "node:assert/strict";
import { afterEach, describe, test } from "node:test";
import { createRandom } from "../../src/utils/create_random.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";
import {
  createOrder,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";

const WORK_MS = 100;
const ENDPOINTS = 8;
/** Two tasks run at an endpoint at once, so this load takes 70 % of the capacity. */
const JOBS_PER_SECOND = 56;
const DURATION_MS = 5_000;
/** A job of two tasks whose latency is above this counts as late. */
const OBJECTIVE_MS = 300;
/** An unanswered order is carried out after this time, in ms. */
const LATE_MS = 1_500;
const SEEDS = [1, 2, 3];

let world: ReturnType<typeof createHostWorld>;
afterEach(() => world.stop());

/** Plays the load while a share of the orders is not answered, and carried out late; returns the share of the jobs that were completed in time. */
async function playLoad(lostShare: number, seed: number): Promise<number> {
  const random = createRandom(seed);
  world = createHostWorld({ workMs: WORK_MS });
  for (let index = 0; index < ENDPOINTS; index += 1) {
    world.addEndpoint(`e${index}`, "a");
  }
  const scheduler = world.startHost("vm-1", { token: 100 });
  await world.advance(600);
  const submittedMs = new Map<string, number>();
  let inTime = 0;
  const link = world.link(scheduler, {
    name: "vm-1",
    events: {
      ended: (id, { type }) => {
        const tookMs = world.readNow() - (submittedMs.get(id) as number);
        if (type === "completed" && tookMs <= OBJECTIVE_MS) inTime += 1;
      },
    },
  });
  world.setCallDelay(() => random() < lostShare ? LATE_MS : 1);
  let jobs = 0;
  for (let elapsedMs = 0; elapsedMs < DURATION_MS; elapsedMs += 1) {
    for (; jobs < elapsedMs * JOBS_PER_SECOND / 1_000; jobs += 1) {
      const id = `j${jobs}`;
      submittedMs.set(id, world.readNow());
      // The endpoints list no progress, so a high stretch keeps runs from being moved.
      link.submit(
        createOrder({
          id,
          stretch: 50,
          waitMs: 10_000,
          steps: [createStep(2, { estimateMs: WORK_MS })],
        }),
        { isResubmitted: false, wasSolo: false, done: [], placed: [] },
      );
    }
    scheduler.confirmRole(world.readNow());
    await world.advance(1);
  }
  await world.advance(1_000);
  assert.deepEqual(world.oracle.violations, []);
  world.stop();
  return inTime / jobs;
}

describe("orders that endpoints leave unanswered and carry out late", () => {
  test("a lost answer in ten costs at most one job in ten", async () => {
    for (const seed of SEEDS) {
      const undisturbed = await playLoad(0, seed);
      const disturbed = await playLoad(0.1, seed);

      assert.ok(undisturbed > 0.99, `seed ${seed}: ${undisturbed} in time`);
      assert.ok(disturbed > 0.9, `seed ${seed}: ${disturbed} in time`);
    }
  });
});
