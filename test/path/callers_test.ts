import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { v7 as createId } from "uuid";
import type { Cluster } from "../fixtures/cluster.ts";
import { startCluster } from "../fixtures/start_cluster.ts";
import { submit } from "../fixtures/submit.ts";
import { waitFor } from "../fixtures/wait_for.ts";

describe("the callers' API", () => {
  let cluster: Cluster;
  let url: string;

  before(async () => {
    cluster = await startCluster({ entries: { north: 2 } });
    url = cluster.entries[0].ready.ready;
  });
  after(() => cluster.stop());

  async function post(body: string, token = "guild-token") {
    const reply = await fetch(`${url}/v1/jobs`, {
      method: "POST",
      headers: { authorization: `Bearer ${token}` },
      body,
    });
    return { status: reply.status, body: await reply.json() };
  }

  function createJob(change: object = {}): string {
    return JSON.stringify({
      client: "guild",
      submissionId: createId(),
      tasks: [{ service: "proof", body: { value: 1 } }],
      ...change,
    });
  }

  for (
    const [name, body, status] of [
      ["invalid JSON", "{", 400],
      ["no tasks", createJob({ tasks: [] }), 400],
      ["an unknown member", createJob({ colour: 1 }), 400],
      ["a wrong type", createJob({ deadlineMs: "soon" }), 400],
      [
        "too many tasks",
        createJob({ tasks: Array(2_001).fill({ service: "proof" }) }),
        400,
      ],
      [
        "too many bytes",
        createJob({
          tasks: [{ service: "proof", body: "x".repeat(17_000_000) }],
        }),
        413,
      ],
    ] as const
  ) {
    test(`a submission with ${name} is refused as not run, with a message on what to correct`, async () => {
      const reply = await post(body);

      assert.equal(reply.status, status);
      assert.equal(reply.body.notRun, true);
      assert.ok(reply.body.failure.message.length > 20);
    });
  }

  test("a wrong token and an unknown client receive the same answer", async () => {
    const wrong = await post(createJob(), "wrong");
    const unknown = await post(createJob({ client: "nobody" }));

    assert.equal(wrong.status, 401);
    assert.deepEqual(unknown, wrong);
  });

  test("a resubmission to any entry receives the same answer, and no task runs again", async () => {
    const id = createId();
    const tasks = [{ value: 1 }, { value: 2 }];
    const answers = await Promise.all(
      [0, 1, 0, 1].map((entry) =>
        submit(cluster.entries[entry].ready.ready, { id, tasks })
      ),
    );

    assert.ok(answers.every((one) => one.status === "complete"));
    const starts = cluster.countStarts();
    assert.equal(starts.get(`guild/${id}/0`), 1);
    assert.equal(starts.get(`guild/${id}/1`), 1);
  });

  test("a submission with a used id and different content is refused and leaves the first job unchanged", async () => {
    const id = createId();
    await submit(url, { id, tasks: [{ value: 1 }] });

    const reused = await submit(url, { id, tasks: [{ value: 2 }] });
    const again = await submit(url, { id, tasks: [{ value: 1 }] });

    assert.equal(reused.httpStatus, 409);
    assert.equal(reused.failure?.kind, "submissionReused");
    assert.equal(again.status, "complete");
  });

  test("a job for a service without endpoints is refused at once", async () => {
    const answer = await submit(url, { tasks: [{}], service: "nowhere" });

    assert.equal(answer.failure?.kind, "neverRunnable");
    assert.equal(answer.notRun, true);
  });

  test("a failed unrepeatable task is not retried, and a failed repeatable task is retried up to three attempts", async () => {
    const unrepeatableId = createId();
    const repeatableId = createId();
    const failed = await submit(url, {
      id: unrepeatableId,
      tasks: [{ fail: true, unrepeatable: true }],
    });
    await submit(url, { id: repeatableId, tasks: [{ fail: true }] });

    assert.equal(failed.status, "failed");
    assert.equal(failed.mayHaveRun, true);
    assert.equal(cluster.countStarts().get(`guild/${unrepeatableId}/0`), 1);
    assert.equal(cluster.countStarts().get(`guild/${repeatableId}/0`), 3);
  });

  test("a job fails when its deadline passes, before its task ends", async () => {
    const startedAtMs = performance.now();
    const answer = await submit(url, {
      tasks: [{ runMs: 3_000 }],
      deadlineMs: 300,
    });

    assert.equal(answer.failure?.kind, "deadlineExceeded");
    assert.ok(performance.now() - startedAtMs < 2_000);
  });

  test("a cancellation sent to another entry ends a running job, and both callers receive the outcome", async () => {
    const id = createId();
    const waiting = submit(url, { id, tasks: [{ runMs: 5_000 }] });
    await waitFor(() => cluster.countStarts().has(`guild/${id}/0`));
    const reply = await fetch(
      `${cluster.entries[1].ready.ready}/v1/jobs/guild/${id}`,
      { method: "DELETE", headers: { authorization: "Bearer guild-token" } },
    );

    assert.equal((await reply.json()).failure.kind, "cancelled");
    assert.equal((await waiting).failure?.kind, "cancelled");
  });

  test("a pending job can be queried later, and its record describes how its tasks were routed", async () => {
    const id = createId();
    const first = await submit(url, {
      id,
      tasks: [{ runMs: 300, value: 7 }],
      waitMs: 10,
    });
    const headers = { authorization: "Bearer guild-token" };
    const job = `${cluster.entries[1].ready.ready}/v1/jobs/guild/${id}`;
    const later = await fetch(`${job}?waitMs=5000`, { headers });
    const record = await fetch(`${job}/record`, { headers });

    assert.equal(first.status, "pending");
    const answer = await later.json();
    assert.equal(answer.results[0].ran, 7);
    const { tasks: [task] } = await record.json();
    assert.equal(task.phase, "done");
    assert.match(task.reason, /sharedQueueFastest/);
  });
});
