import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import type { EndpointListing } from "../../src/scheduler/endpoint_listing.ts";
import type { StoredProgress } from "../../src/scheduler/stored_progress.ts";
import { updateEndpoints } from "../../src/scheduler/update_endpoints.ts";
import type { SilenceCause } from "../../src/scheduler/silence_cause.ts";
import {
  createSchedulerDriver,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import type { Start } from "../fixtures/create_scheduler_driver.ts";

/** Time after which the lease of an unresponsive endpoint has expired, and a margin. */
const LAPSE_MS = 1_300;
/** Time after which an endpoint that does not answer again counts as crashed. */
const NO_RETURN_MS = 15_100;
/** Time after which a crashed endpoint leaves the store's list: three heartbeats. */
const LISTED_MS = 4_500;
/** Time from a crash until it is proven, as the endpoint has left the store's list, and a margin. */
const PROOF_MS = LISTED_MS + 3_200;

/** Creates a scheduler of idle endpoints that accept each start; some tasks crash the endpoint that starts them. */
function createWorld(
  options: {
    endpoints: number;
    token?: number;
    processStartMs?: number;
    /** Endpoints in the list that do not answer. Default: none. */
    crashed?: Iterable<string>;
  },
) {
  const driver = createSchedulerDriver({ token: options.token });
  const ids = Array.from(
    { length: options.endpoints },
    (_, index) => `e${index + 1}`,
  );
  let nowMs = 0;
  let handled = 0;
  const down = new Set(options.crashed);
  /** When endpoints crashed that are still in the store's list. */
  const crashedMs = new Map<string, number>();
  const { processStartMs = 1 } = options;
  const processStarts = new Map(ids.map((id) => [id, processStartMs]));
  const startsOf = (job: string) =>
    driver.starts.filter(({ task }) => task.job.order.id === job);

  function list(id: string, running: EndpointListing["running"] = []): void {
    driver.list(id, {
      clockMs: nowMs,
      processStartMs: processStarts.get(id),
      running,
    });
  }

  function addEndpoint(id: string): void {
    driver.addEndpoint(id);
    if (!down.has(id)) list(id);
  }

  function listAll(): void {
    for (const id of ids) {
      if (down.has(id)) continue;
      const running = [...driver.state.endpoints.get(id)?.runs.values() ?? []]
        .map(({ name, run }) => ({ task: name, run, progress: 0.1 }));
      list(id, running);
    }
  }

  function dropSilentRows(): void {
    for (const [id, atMs] of crashedMs) {
      if (nowMs - atMs < LISTED_MS) continue;
      crashedMs.delete(id);
      driver.dropRow(id);
    }
  }

  function pass(byMs: number): void {
    for (const endMs = nowMs + byMs; nowMs < endMs;) {
      nowMs += 100;
      dropSilentRows();
      driver.advanceTo(nowMs);
      listAll();
    }
  }

  /** The endpoint goes away: its process ends, or, if it is cut off, it stays in the store's list. */
  function crash(
    id: string,
    cause: SilenceCause = "broken",
    isCut = false,
  ): void {
    down.add(id);
    if (!isCut) crashedMs.set(id, nowMs);
    for (const start of driver.starts) {
      if (start.endpointId === id) driver.reply(start, { type: "accepted" });
    }
    driver.setUnresponsive(id, cause);
  }

  /** Lets the store take all changes: the losses first, then the start that is counted after them. */
  function save(): void {
    for (let write = 0; write < 2; write += 1) {
      driver.confirmSaved();
      pass(100);
    }
  }

  /** Lets each start of the job crash its endpoint, until the job is not started for a while. */
  function crashEach(job: string, cause?: SilenceCause): Start[] {
    for (;;) {
      const fresh = startsOf(job).slice(handled);
      if (fresh.length === 0) return startsOf(job);
      handled += fresh.length;
      for (const { endpointId } of fresh) crash(endpointId, cause);
      pass(LAPSE_MS);
      save();
    }
  }

  for (const id of ids) addEndpoint(id);
  pass(100);
  return {
    driver,
    startsOf,
    pass,
    crash,
    crashEach,
    save,
    /** The endpoint answers again: the same process, or another one that runs nothing. */
    bringBack: (id: string, startMs = processStartMs) => {
      down.delete(id);
      if (!crashedMs.delete(id) && !driver.state.endpoints.has(id)) {
        driver.addEndpoint(id);
      }
      processStarts.set(id, startMs);
      list(id);
    },
    addEndpoint: (id: string) => {
      ids.push(id);
      processStarts.set(id, processStartMs);
      addEndpoint(id);
    },
  };
}

/** Submits the stored job `j` to a later scheduler, with the progress that an earlier one would have saved. */
function submitToLater(
  earlier: ReturnType<typeof createWorld>,
  options: { endpoints: number; processStartMs?: number },
) {
  const job = earlier.driver.state.jobs.get("j");
  assert.ok(job);
  const later = createWorld({ ...options, token: 200 });
  const progress = decodeProgress(encodeProgress(job), job.order);
  later.driver.submitStored(job.order, { progress, mayHaveRun: true });
  later.pass(2_000);
  later.driver.confirmSaved();
  later.pass(600);
  later.driver.confirmSaved();
  later.pass(100);
  return later;
}

describe("tasks that crash the endpoints that start them", () => {
  // A task crashed one endpoint after the other until the play ended, as runs
  // that were lost with their endpoints were started again without a limit.
  test("a task crashes two endpoints, then its job fails", () => {
    for (const isStored of [true, false]) {
      const world = createWorld({ endpoints: 8 });
      if (isStored) world.driver.submitStored({ id: "j" });
      else world.driver.submit({ id: "j", stretch: 30 });

      assert.equal(world.crashEach("j").length, 2);
      world.pass(PROOF_MS);
      assert.equal(world.startsOf("j").length, 2);
      assert.deepEqual(world.driver.outcomes.get("j"), {
        type: "failed",
        reason: "endpointsCrashed",
      });
    }
  });

  // Tasks that shared an endpoint with a crashing one were started beside it again.
  test("a task that shared an endpoint with a crashing one starts again alone, and completes", () => {
    const world = createWorld({ endpoints: 1 });
    const { driver } = world;
    driver.submitStored({ id: "j" });
    driver.submitStored({ id: "k" });
    for (const id of ["e2", "e3", "e4"]) world.addEndpoint(id);
    const [{ endpointId: shared }] = world.startsOf("k");
    assert.equal(world.startsOf("j")[0].endpointId, shared);
    world.crashEach("j");
    world.pass(PROOF_MS);
    assert.equal(driver.outcomes.get("j")?.type, "failed");

    const again = world.startsOf("k").at(-1) as Start;
    assert.notEqual(again.endpointId, shared);
    driver.submit({ id: "l", steps: [createStep(8)] });
    const beside = world.startsOf("l").map(({ endpointId }) => endpointId);
    assert.ok(!beside.includes(again.endpointId), "nothing starts beside it");
    driver.end(again, "done", 1);
    assert.deepEqual(driver.outcomes.get("k"), { type: "completed" });
  });

  // A scheduler that began after the crash counted from zero.
  test("a crash counts under a later scheduler", () => {
    const earlier = createWorld({ endpoints: 4 });
    earlier.driver.submitStored({ id: "j" });
    earlier.crash(earlier.startsOf("j")[0].endpointId);
    const later = submitToLater(earlier, {
      endpoints: 4,
      processStartMs: 2,
    });

    assert.equal(later.crashEach("j").length, 1);
    later.pass(PROOF_MS);
    assert.equal(later.driver.outcomes.get("j")?.type, "failed");
  });

  // The scheduler could end between a crash and the next start with the crash counted nowhere.
  test("a task of a stored job starts again only once the crash is in the store", () => {
    const world = createWorld({ endpoints: 4 });
    world.driver.submitStored({ id: "j" });
    world.driver.confirmSaved();
    world.crash(world.startsOf("j")[0].endpointId);
    world.pass(5_000);
    assert.equal(world.startsOf("j").length, 1);

    world.save();
    assert.equal(world.startsOf("j").length, 2);
  });

  // Each scheduler that began started the task once more, as nothing was
  // saved of a crash right before the end of the one before.
  test("a task crashes five endpoints at most, although each crash ends the scheduler before it is known", () => {
    const endpoints = 12;
    const crashed = new Set<string>();
    let progress: StoredProgress | undefined;
    let starts = 0;
    for (let scheduler = 1; scheduler <= 10; scheduler += 1) {
      const world = createWorld({ endpoints, token: scheduler * 100, crashed });
      const { driver } = world;
      driver.submitStored({ id: "j" }, { progress, mayHaveRun: scheduler > 1 });
      const job = driver.state.jobs.get("j");
      assert.ok(job);
      for (let step = 0; step < 40 && !world.startsOf("j")[0]; step += 1) {
        world.pass(100);
        progress = decodeProgress(encodeProgress(job), job.order);
        driver.confirmSaved();
      }
      const [start] = world.startsOf("j");
      if (!start) break;
      starts += 1;
      crashed.add(start.endpointId);
    }

    assert.equal(starts, 5);
  });

  test("a run that is lost with an endpoint which answers again does not count", () => {
    const world = createWorld({ endpoints: 8 });
    world.driver.submitStored({ id: "j" });
    for (let cut = 1; cut <= 6; cut += 1) {
      const last = world.startsOf("j").at(-1) as Start;
      world.crash(last.endpointId);
      world.driver.confirmSaved();
      world.pass(LAPSE_MS);
      world.bringBack(last.endpointId);
      world.save();
    }

    assert.equal(world.startsOf("j").length, 7);
    assert.equal(world.driver.outcomes.get("j"), undefined);
    assert.deepEqual(world.startsOf("j")[0].task.lostRuns, []);
  });

  test("a later scheduler does not count a run that was lost with an endpoint which answers again", () => {
    const earlier = createWorld({ endpoints: 4 });
    earlier.driver.submitStored({ id: "j" });
    earlier.crash(earlier.startsOf("j")[0].endpointId);
    const later = submitToLater(earlier, { endpoints: 4 });

    assert.equal(later.driver.state.suspects.size, 0);
    assert.equal(later.startsOf("j").length, 1);
  });

  test("endpoints that time out and never answer again count as crashed, and at most three are lost", () => {
    const world = createWorld({ endpoints: 8 });
    world.driver.submitStored({ id: "j" });

    assert.equal(world.crashEach("j", "timedOut").length, 3);
    assert.equal(world.driver.outcomes.get("j"), undefined);
    world.pass(NO_RETURN_MS);
    assert.equal(world.startsOf("j").length, 3);
    assert.equal(world.driver.outcomes.get("j")?.type, "failed");
  });

  test("an endpoint that answers again as another process has crashed, though its requests timed out", () => {
    const world = createWorld({ endpoints: 8 });
    world.driver.submitStored({ id: "j" });
    for (let crash = 1; crash <= 2; crash += 1) {
      const last = world.startsOf("j").at(-1) as Start;
      world.crash(last.endpointId, "timedOut");
      world.driver.confirmSaved();
      world.pass(LAPSE_MS);
      world.bringBack(last.endpointId, 2);
      world.save();
    }

    assert.ok(world.startsOf("j").length <= 3);
    world.crashEach("j");
    world.pass(PROOF_MS);
    assert.ok(world.startsOf("j").length <= 3);
    assert.equal(world.driver.outcomes.get("j")?.type, "failed");
  });

  test("a run that is lost with an endpoint which had announced its end does not count", () => {
    const world = createWorld({ endpoints: 4 });
    world.driver.submitStored({ id: "j" });
    const [{ endpointId }] = world.startsOf("j");
    world.driver.updateRow(endpointId, { isDraining: true });
    world.crash(endpointId);
    world.pass(LAPSE_MS);

    assert.equal(world.driver.state.suspects.size, 0);
    assert.equal(world.startsOf("j").length, 2);
  });

  test("where no endpoint is idle, one is emptied for a suspect, and no more than a part of them", () => {
    const world = createWorld({ endpoints: 4 });
    const { driver } = world;
    driver.submitStored({ id: "j", steps: [createStep(2)] });
    const [{ endpointId }] = world.startsOf("j");
    world.crash(endpointId);
    driver.confirmSaved();
    driver.submitStored({ id: "k", steps: [createStep(40)] });
    world.pass(LAPSE_MS);
    world.save();

    const kept = [...driver.state.endpoints.values()]
      .filter(({ isolatedTask, phase }) => isolatedTask && phase === "usable");
    assert.equal(kept.length, 1);
    const [endpoint] = kept;
    const runs = [...endpoint.runs.values()];
    driver.list(endpoint.row.id, {
      clockMs: 1_500,
      ended: runs.map(({ name, run }, index) => ({
        number: index + 1,
        task: name,
        run,
        how: "done",
      })),
    });
    world.save();
    assert.deepEqual(
      [...endpoint.runs.keys()],
      [endpoint.isolatedTask?.name],
    );
  });

  // Tasks that had crashed an endpoint waited for half a minute for their
  // second start while most endpoints were idle.
  test("suspects start at idle endpoints, until with those that are away they have half of all", () => {
    const world = createWorld({ endpoints: 12 });
    const { driver } = world;
    const jobs = ["j", "k", "l", "m", "n", "o"];
    for (const id of jobs) driver.submitStored({ id });
    const lost = new Set(driver.starts.map(({ endpointId }) => endpointId));
    assert.equal(lost.size, 3);
    for (const id of lost) world.crash(id);
    world.pass(LAPSE_MS);
    world.save();

    const restarts = driver.starts.slice(jobs.length);
    assert.equal(restarts.length, 3);
    assert.equal(new Set(restarts.map(({ endpointId }) => endpointId)).size, 3);
  });
});

const MANY = 40;

/** Lets an endpoint crash that runs many small tasks, each of a stored job of its own, until the first of them have started again. */
function loseMany(options: { endpoints: number }) {
  const world = createWorld(options);
  const { driver } = world;
  const room = { cpu: 100, memoryMb: 64, gpus: 0 };
  for (let index = 0; index < MANY; index += 1) {
    driver.submitStored({ id: `j${index}`, steps: [createStep(1, { room })] });
  }
  const [{ endpointId }] = driver.starts;
  assert.ok(driver.starts.every((start) => start.endpointId === endpointId));
  world.crash(endpointId);
  world.pass(LAPSE_MS);
  world.save();
  const numbers = new Map<string, number>();

  /** Lists the end of each run of the starts. */
  function endAll(starts: Start[]): void {
    for (const start of starts) {
      const number = (numbers.get(start.endpointId) ?? 0) + 1;
      numbers.set(start.endpointId, number);
      driver.end(start, "done", number);
    }
  }

  return { world, driver, endAll, restarts: driver.starts.slice(MANY) };
}

function groupByEndpoint(starts: Start[]): Map<string, Start[]> {
  const groups = new Map<string, Start[]>();
  for (const start of starts) {
    const { endpointId } = start;
    groups.set(endpointId, [...groups.get(endpointId) ?? [], start]);
  }
  return groups;
}

describe("many tasks that were lost with one endpoint", () => {
  // They started again one by one, which took the longer the more they were,
  // while all other endpoints were idle.
  test("start again in groups, a bounded number of times", () => {
    const { world, driver, endAll, restarts } = loseMany({ endpoints: 8 });
    const groups = groupByEndpoint(restarts);
    assert.equal(groups.size, 3);
    for (const group of groups.values()) assert.equal(group.length, 5);

    let ended = MANY;
    for (let round = 0; round < 3; round += 1) {
      endAll(driver.starts.slice(ended));
      ended = driver.starts.length;
      world.save();
    }
    assert.equal(driver.starts.length, 2 * MANY);
  });

  test("start again alone if the endpoint of their group crashes", () => {
    const { world, driver, endAll, restarts } = loseMany({ endpoints: 8 });
    const groups = groupByEndpoint(restarts);
    const [[endpointId, group]] = groups;
    const known = driver.starts.length;
    world.crash(endpointId);
    world.pass(LAPSE_MS);
    driver.confirmSaved();
    endAll(restarts.filter((start) => start.endpointId !== endpointId));
    world.save();

    const names = new Set(group.map(({ task }) => task.name));
    const again = driver.starts.slice(known);
    const alone = again.filter(({ task }) => names.has(task.name));
    assert.notEqual(alone.length, 0);
    for (const { endpointId: other } of alone) {
      const beside = again.filter((start) => start.endpointId === other);
      assert.equal(beside.length, 1);
    }
  });

  test("do not fail a job unless a task crashes an endpoint alone", () => {
    const { world, driver, endAll, restarts } = loseMany({ endpoints: 8 });
    const [{ endpointId, task }] = restarts;
    const { id } = task.job.order;
    world.crash(endpointId);
    world.pass(LAPSE_MS);
    driver.confirmSaved();
    endAll(restarts.filter((start) => start.endpointId !== endpointId));
    world.save();
    const last = world.startsOf(id).at(-1) as Start;
    world.crash(last.endpointId);
    world.pass(PROOF_MS);

    assert.equal(world.startsOf(id).length, 3);
    const failed = [...driver.state.jobs.values()]
      .filter(({ outcome }) => outcome?.type === "failed")
      .map(({ order }) => order.id);
    assert.deepEqual(failed, [id]);
  });

  test("keep other tasks from their endpoint until the last of them has ended", () => {
    const { world, driver, endAll, restarts } = loseMany({ endpoints: 8 });
    for (const start of restarts) driver.reply(start, { type: "accepted" });
    const [[endpointId, group]] = groupByEndpoint(restarts);
    endAll(group.slice(0, 1));
    const known = driver.starts.length;
    driver.submitStored({ id: "k", steps: [createStep(16)] });

    const beside = driver.starts.slice(known)
      .filter(({ task }) => task.job.order.id === "k");
    assert.ok(beside.length > 0);
    assert.ok(beside.every((start) => start.endpointId !== endpointId));
    world.pass(100);
  });

  test("start again in groups under a later scheduler", () => {
    const { driver: earlier } = loseMany({ endpoints: 8 });
    const later = createWorld({ endpoints: 8, token: 200, crashed: ["e1"] });
    for (const job of earlier.state.jobs.values()) {
      const progress = decodeProgress(encodeProgress(job), job.order);
      later.driver.submitStored(job.order, { progress, mayHaveRun: true });
    }
    later.pass(2_000);
    for (let write = 0; write < 6; write += 1) later.save();

    const groups = groupByEndpoint(later.driver.starts);
    assert.ok([...groups.values()].some(({ length }) => length === 5));
  });
});

/** Lets the latest start's endpoint be cut off, as its connections are reset, until the task may start elsewhere. */
function cutLatest(world: ReturnType<typeof createWorld>): string {
  const { endpointId } = world.startsOf("j").at(-1) as Start;
  world.crash(endpointId, "broken", true);
  world.pass(LAPSE_MS);
  world.save();
  return endpointId;
}

describe("tasks whose endpoints are cut off and run on", () => {
  // Two endpoints were cut off, one after the other, with resets: the job was
  // shown as failed before they could answer again.
  test("a job does not fail because two endpoints refuse connections for a while", () => {
    for (const isStored of [true, false]) {
      const world = createWorld({ endpoints: 8 });
      const { driver } = world;
      if (isStored) driver.submitStored({ id: "j" });
      else driver.submit({ id: "j", stretch: 30 });
      const cut = [cutLatest(world), cutLatest(world)];
      world.pass(4_000);
      assert.equal(world.startsOf("j").length, 2, "waits for the verdict");
      assert.equal(driver.outcomes.get("j"), undefined);

      for (const id of cut) world.bringBack(id);
      world.save();
      const [, , again] = world.startsOf("j");
      driver.end(again, "done", 1);
      assert.deepEqual(driver.outcomes.get("j"), { type: "completed" });
    }
  });

  test("a job does not fail after one crash and one endpoint that is cut off, in either order", () => {
    for (const isCrashFirst of [true, false]) {
      const world = createWorld({ endpoints: 8 });
      world.driver.submitStored({ id: "j" });
      const first = world.startsOf("j")[0].endpointId;
      world.crash(first, "broken", !isCrashFirst);
      world.pass(LAPSE_MS);
      world.save();
      const second = (world.startsOf("j").at(-1) as Start).endpointId;
      world.crash(second, "broken", isCrashFirst);
      world.pass(PROOF_MS);
      assert.equal(world.startsOf("j").length, 2);
      assert.equal(world.driver.outcomes.get("j"), undefined);

      world.bringBack(isCrashFirst ? second : first);
      world.save();
      assert.equal(world.startsOf("j").length, 3);
      world.crashEach("j");
      world.pass(PROOF_MS);
      assert.equal(world.startsOf("j").length, 3);
      assert.equal(world.driver.outcomes.get("j")?.type, "failed");
    }
  });

  // The row of an earlier version does not say whether a crash is proven.
  for (const isEarlierVersion of [false, true]) {
    test(
      `a later scheduler does not take cuts for crashes${
        isEarlierVersion ? ", from a row of the earlier version" : ""
      }`,
      () => {
        const earlier = createWorld({ endpoints: 8 });
        earlier.driver.submitStored({ id: "j" });
        const cut = [cutLatest(earlier), cutLatest(earlier)];
        const job = earlier.driver.state.jobs.get("j");
        assert.ok(job);
        const row = encodeProgress(job);
        if (isEarlierVersion) {
          for (const lost of row.lostRuns ?? []) lost.length = 5;
        }
        const later = createWorld({ endpoints: 8, token: 200, crashed: cut });
        later.driver.submitStored(job.order, {
          progress: decodeProgress(row, job.order),
          mayHaveRun: true,
        });
        later.pass(5_000);
        later.save();
        assert.equal(later.startsOf("j").length, 0);
        assert.equal(later.driver.outcomes.get("j"), undefined);

        for (const id of cut) later.bringBack(id);
        later.pass(3_000);
        later.save();
        assert.equal(later.startsOf("j").length, 1);
      },
    );
  }

  test("an endpoint does not count as crashed while the store's list may lack live endpoints", () => {
    const world = createWorld({ endpoints: 8 });
    const { driver } = world;
    driver.submitStored({ id: "j" });
    cutLatest(world);
    cutLatest(world);
    updateEndpoints(driver.state, [], { nowMs: 3_000, isListReliable: false });
    world.pass(PROOF_MS);

    assert.equal(driver.outcomes.get("j"), undefined);
  });
});
