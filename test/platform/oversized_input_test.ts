import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, describe, test } from "node:test";
import * as fc from "fast-check";
import { decodeJob } from "../../platform/decode_job.ts";
import { SUBMISSION_LIMITS } from "../../src/scheduler/submission_limits.ts";
import { callNode } from "../fixtures/call_node.ts";
import { createId } from "../fixtures/create_id.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

const ROUTE = {
  name: "proofs",
  host: "x",
  pathPrefix: "/p/",
  service: "layout",
  timeoutMs: 5_000,
  slackMs: 100,
  stretch: 2,
  priority: 0,
  maxAttempts: 3,
  needsAdvice: false,
};
const STEP = { count: 1, cpu: 100, memMb: 1, estimateMs: 20 };
/** Longest time that any message may keep the scheduler busy, in ms. */
const MAX_WORK_MS = 2_000;

function decode(body: unknown) {
  return decodeJob(body, { id: createId(1), route: ROUTE, waitMs: 1_000 });
}

/** A value that another program may write in place of a number or a list. */
function createOddValue(): fc.Arbitrary<unknown> {
  return fc.oneof(
    fc.constantFrom(-1, 0, 1.5, NaN, Infinity, 1e9, 2 ** 53, 1e300, 1_900),
    fc.constantFrom(null, "1", "", [], {}, true, undefined),
    fc.integer(),
    fc.array(fc.integer({ min: -2, max: 5 })),
  );
}

function createOddStep(): fc.Arbitrary<unknown> {
  const odd = createOddValue();
  const step = fc.record({
    count: odd,
    cpu: odd,
    memMb: odd,
    gpus: odd,
    estimateMs: odd,
    after: odd,
    affinity: odd,
    requires: odd,
    antiAffinity: odd,
  }, { requiredKeys: [] });
  return fc.oneof(
    step.map((fields) => ({ ...STEP, ...fields })),
    fc.constant(STEP),
    odd,
  );
}

describe("a submission of any content", () => {
  // An accepted submission of 130 bytes with a billion tasks ended each VM in turn.
  test("it is refused, or becomes a job whose tasks the scheduler can hold", () => {
    const bodies = fc.record({
      spec: fc.oneof(fc.constant("{}"), createOddValue()),
      steps: fc.array(createOddStep(), { maxLength: 4 }),
    });
    fc.assert(
      fc.property(bodies, (body) => {
        const beganMs = performance.now();
        const decoded = decode(body);
        if (decoded.type === "job") {
          const driver = createSchedulerDriver();
          driver.addIdleEndpoint("e1");
          driver.submit(decoded.order);
          driver.submitStored({ ...decoded.order, id: createId(2) });
          assert.ok(driver.state.taskCounts.stored <= SUBMISSION_LIMITS.tasks);
        }
        assert.ok(performance.now() - beganMs < MAX_WORK_MS);
      }),
      { seed: 10, numRuns: 500 },
    );
  });

  test("a refusal for its size names the limit", () => {
    const wide = decode({ spec: "", steps: [{ ...STEP, count: 4_001 }] });
    assert.equal(wide.type, "tooLarge");
    assert.match((wide as { found: string }).found, /more than 4000 tasks/);

    const steps = Array.from({ length: 1_001 }, () => STEP);
    assert.equal(decode({ spec: "", steps }).type, "tooLarge");

    const spec = "x".repeat(4_001);
    assert.equal(decode({ spec, steps: [STEP] }).type, "tooLarge");
  });

  test("the largest job of the target, and steps at the limit, are accepted", () => {
    const largest = decode({ spec: "", steps: [{ ...STEP, count: 1_900 }] });
    assert.equal(largest.type, "job");
    const steps = Array.from({ length: 1_000 }, () => STEP);
    assert.equal(decode({ spec: "", steps }).type, "job");
  });

  // Such a job was accepted, and its tasks waited for ever.
  test("a step that waits for itself, or for a step that does not exist, is refused", () => {
    for (const after of [[0], [1], [-1], ["x"], 0]) {
      assert.equal(
        decode({ spec: "", steps: [{ ...STEP, after }] }).type,
        "invalid",
      );
    }
  });
});

describe("a system that is sent oversized input", () => {
  let system: System;
  before(async () => {
    system = await startNodes({ nodes: 2, workers: 2, runMs: 30 });
  });
  after(() => system.stop());

  function submit(id: string, body: object) {
    return callNode(system.nodes[0], {
      method: "POST",
      path: `/proofs/${id}`,
      body,
    });
  }

  async function checkServing(index: number): Promise<void> {
    const id = createId(index);
    await waitFor(async () =>
      (await submit(id, { spec: "{}", steps: [STEP] })).status === 200
    );
    await waitFor(async () => {
      const { body } = await callNode(system.nodes[1], {
        method: "GET",
        path: `/proofs/${id}`,
      });
      return (body as { state?: string }).state === "completed";
    }, 15_000);
  }

  test("a job of a billion tasks is answered 413 at once, stored or best-effort", async () => {
    for (const bestEffort of [false, true]) {
      const { status, body } = await submit(createId(10), {
        spec: "{}",
        steps: [{ ...STEP, count: 1_000_000_000 }],
        bestEffort,
      });
      assert.equal(status, 413);
      assert.equal((body as { notRun: boolean }).notRun, true);
    }
    await checkServing(11);
  });

  // `limits.maxBodyBytes` of the configuration was read and not used.
  test("a body above the configured limit is answered 413, whether or not its length is announced", async () => {
    const spec = "x".repeat(300_000);
    const announced = await submit(createId(12), { spec, steps: [STEP] });
    assert.equal(announced.status, 413);

    const answer = await sendChunked(system.nodes[0].callerAddress, spec);
    assert.match(answer, /^HTTP\/1.1 413/);
    await checkServing(13);
  });

  // Each VM that took the scheduler role read the row and ended.
  test("rows that no version may run fail their jobs and hold up no others", async () => {
    const order = {
      id: createId(20),
      route: "proofs",
      service: "layout",
      spec: "{}",
      steps: [{
        count: 1_000_000_000,
        room: { cpu: 1, memoryMb: 1, gpus: 0 },
        estimateMs: 1,
        after: [],
      }],
      priority: 0,
      maxAttempts: 3,
      stretch: 1,
      slackMs: 1,
      ageMs: 0,
      waitMs: 1_000,
      isKept: true,
    };
    const acceptedAtMs = Date.now();
    const values = [
      { order, acceptedAtMs },
      { order: { ...order, steps: [{ count: 1 }] }, acceptedAtMs },
      { order: { ...order, id: createId(99) }, acceptedAtMs },
      { order: 1 },
      null,
      "text",
    ];
    values.forEach((value, index) =>
      system.store.put("chivegrade-jobs", createId(20 + index), value)
    );
    for (const [index] of values.entries()) {
      await waitFor(async () => {
        const { body } = await callNode(system.nodes[0], {
          method: "GET",
          path: `/proofs/${createId(20 + index)}`,
        });
        return (body as { state?: string }).state === "failed";
      }, 10_000);
    }
    await checkServing(30);
  });
});

/** Sends a submission in chunks without a content length, and resolves with the answer. */
function sendChunked(address: string, spec: string): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host);
    const text = JSON.stringify({ spec, steps: [STEP] });
    let answer = "";
    socket.on("data", (chunk) => {
      answer += chunk.toString();
      if (answer.includes("\r\n\r\n")) {
        socket.destroy();
        resolve(answer);
      }
    });
    socket.on("error", reject);
    socket.on("close", () => resolve(answer));
    socket.write(
      `POST /proofs/${createId(40)} HTTP/1.1\r\nhost: layout.example\r\n` +
        "content-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`);
  });
}
