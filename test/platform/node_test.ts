import assert from "node:assert/strict";
import { readFileSync, writeFileSync } from "node:fs";
import { after, before, describe, test } from "node:test";
import { callNode } from "../fixtures/call_node.ts";
import { checkCompletedOnce } from "../fixtures/check_completed_once.ts";
import { checkRunOverlap } from "../fixtures/check_run_overlap.ts";
import { createId } from "../fixtures/create_id.ts";
import { postJob } from "../fixtures/post_job.ts";
import { runOnNodes } from "../fixtures/run_on_nodes.ts";
import { createConfiguration, startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;

/** Checks that no task had two runs at the same time. */
function checkSystem(system: System): void {
  const runs = system.workers.flatMap(({ history }) => history);
  checkRunOverlap(runs, { isDoneFinal: false });
}

describe("a cluster of VMs on the platform", () => {
  let system: System;
  before(async () => {
    system = await startNodes({ nodes: 3, workers: 4, runMs: 100 });
  });
  after(() => system.stop());

  test("jobs submitted to any VM are completed", async () => {
    const replies = await Promise.all(
      Array.from(
        { length: 12 },
        (_, index) =>
          postJob(system.nodes[index % 3], createId(index), { tasks: 3 }),
      ),
    );

    assert.deepEqual(replies.map(({ status }) => status), Array(12).fill(200));
    assert.deepEqual(replies[0].body, { state: "completed" });
    checkSystem(system);
  });

  test("submissions of the same id to all VMs at once are one job", async () => {
    const id = createId(100);
    const replies = await Promise.all(
      system.nodes.map((node) => postJob(node, id)),
    );

    assert.ok(replies.every(({ status }) => status === 200));
    const runs = system.workers.flatMap(({ history }) => history)
      .filter(({ task }) => task.startsWith(id));
    assert.equal(runs.length, 1);
  });

  test("a path without a route is answered 404 until the configuration has one", async () => {
    const path = `/spreads/${createId(101)}`;
    const [node] = system.nodes;
    assert.equal((await postJob(node, "", { path })).status, 404);

    const routes = ["/proofs/", "/spreads/"];
    system.store.put("op", "config", createConfiguration(2, routes));

    await waitFor(async () => {
      return (await postJob(node, "", { path })).status === 200;
    }, 2_000);
  });

  test("a job that needs an unsupported feature is refused with status 503", async () => {
    const body = { spec: "{}", steps: [{ count: 1, cpu: 1, gang: true }] };

    const reply = await postJob(system.nodes[0], createId(102), { body });

    assert.equal(reply.status, 503);
  });

  test("a job that fits no endpoint is refused at once, with a retry-after header", async () => {
    const body = {
      spec: "{}",
      bestEffort: true,
      steps: [{ count: 1, cpu: 99_000, estimateMs: 100 }],
    };

    const reply = await postJob(system.nodes[0], createId(103), { body });

    assert.equal(reply.status, 503);
    assert.ok(Number(reply.headers["retry-after"]) >= 1);
  });

  test("no task runs twice when an endpoint carries out a start late", async () => {
    const [worker] = system.workers;
    worker.faults.lateStartMs = 600;
    const replies = await Promise.all(
      Array.from(
        { length: 6 },
        (_, index) => postJob(system.nodes[1], createId(200 + index)),
      ),
    );
    worker.faults.lateStartMs = undefined;

    assert.ok(replies.every(({ status }) => status === 200));
    await new Promise((resolve) => setTimeout(resolve, 900));
    checkSystem(system);
  });

  test("the metrics contain the number of answers and their latency", async () => {
    const { metricsAddress } = system.nodes[0];
    const reply = await fetch(`http://${metricsAddress}/metrics`);
    const text = await reply.text();

    assert.match(
      text,
      /chivegrade_events_total\{event="answered",outcome="completed"\} \d+/,
    );
    assert.match(text, /chivegrade_answer_ms_bucket\{le="500"\} \d+/);
    assert.match(
      text,
      /chivegrade_store_calls_total\{kind="GET \/rows-get",outcome="200"\} \d+/,
    );
    assert.match(text, /chivegrade_loop_delay_ms_count \d+/);
    assert.match(text, /chivegrade_configuration_age_ms \d+/);
  });

  test("the metrics of the scheduler contain its queues, the free capacity and the age of its listings", async () => {
    const { metricsAddress } = system.findScheduler();
    const reply = await fetch(`http://${metricsAddress}/metrics`);
    const text = await reply.text();

    assert.match(text, /chivegrade_scheduler_waiting_jobs 0/);
    assert.match(text, /chivegrade_endpoints_usable 4/);
    assert.match(text, /chivegrade_endpoints_free_millicores 56000/);
    assert.match(text, /chivegrade_endpoints_oldest_listing_ms \d+/);
  });

  test("requests are served while the reader of the log output is stalled", async () => {
    const [node] = system.nodes;
    const { metricsAddress, child } = node;
    child.stdout?.pause();
    // Each request is logged, whatever the load; the lines together are several
    // times the size of the pipe's buffer.
    for (let batch = 0; batch < 60; batch += 1) {
      await Promise.all(
        Array.from(
          { length: 50 },
          () => callNode(node, { method: "GET", path: "/nowhere/" }),
        ),
      );
    }
    const reply = await postJob(node, createId(250));
    const scrape = await fetch(`http://${metricsAddress}/metrics`);
    child.stdout?.resume();

    assert.equal(reply.status, 200);
    assert.equal(scrape.status, 200);
  });

  test("a VM switches to another address of the store when its settings change, without a restart", async () => {
    const [node] = system.nodes;
    const newListener = await system.store.openDoor();
    const text = readFileSync(node.settingsFile, "utf8");
    const changedText = text.replace(
      /(?<=\[platform\]\naddress = ")[^"]+/,
      newListener.address,
    );
    writeFileSync(node.settingsFile, changedText);
    node.child.kill("SIGHUP");
    await waitFor(() => node.logs.some(({ event }) => event === "reloaded"));
    node.storeAccess.isClosed = true;

    const routes = ["/proofs/", "/spreads/", "/moved/"];
    system.store.put("op", "config", createConfiguration(5, routes));

    const path = `/moved/${createId(130)}`;
    await waitFor(async () => {
      const { status } = await postJob(node, "", { path });
      return status === 200;
    });
  });

  test("jobs are completed while the store is unresponsive", async () => {
    system.store.faults.isSilent = true;
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    const reply = await postJob(system.nodes[2], createId(300));
    system.store.faults.isSilent = false;

    assert.equal(reply.status, 200);
  });
});

describe("tasks whose run is in time", () => {
  // Guards against tasks that are moved to another endpoint, and so run twice,
  // although their first run is in time.
  test("are not moved", async () => {
    // The run takes longer than a long poll of an endpoint's listing, so that
    // at least one listing shows it.
    await runOnNodes({ nodes: 1, workers: 2, runMs: 400 }, async (system) => {
      const id = createId(1);
      const reply = await postJob(system.nodes[0], id);

      assert.equal(reply.status, 200);
      await checkCompletedOnce(system, { id, tasks: 1 });
      const { logs } = system.nodes[0];
      const moves = logs.filter(({ event }) => event === "taskMoved");
      assert.deepEqual(moves, []);
    });
  });
});

describe("replacing a scheduler", () => {
  test("a killed scheduler is replaced, and the open jobs are completed", async () => {
    await runOnNodes({ nodes: 3, workers: 2, runMs: 400 }, async (system) => {
      const scheduler = system.findScheduler();
      const others = system.nodes.filter((node) => node !== scheduler);
      const replies = Array.from(
        { length: 8 },
        (_, index) => postJob(others[index % 2], createId(index)),
      );
      await new Promise((resolve) => setTimeout(resolve, 200));
      scheduler.child.kill("SIGKILL");

      const statuses = (await Promise.all(replies)).map(({ status }) => status);

      assert.deepEqual(statuses, Array(8).fill(200));
      checkSystem(system);
      assert.notEqual(system.findScheduler(), scheduler);
    });
  });

  test("a paused scheduler is replaced, and no task has two runs at once when it continues", async () => {
    await runOnNodes({ nodes: 3, workers: 2, runMs: 300 }, async (system) => {
      const scheduler = system.findScheduler();
      const others = system.nodes.filter((node) => node !== scheduler);
      const replies = Array.from(
        { length: 8 },
        (_, index) => postJob(others[index % 2], createId(index)),
      );
      await new Promise((resolve) => setTimeout(resolve, 100));
      scheduler.child.kill("SIGSTOP");
      const statuses = (await Promise.all(replies)).map(({ status }) => status);
      scheduler.child.kill("SIGCONT");
      const lateReply = await postJob(scheduler, createId(99));

      assert.deepEqual(statuses, Array(8).fill(200));
      assert.equal(lateReply.status, 200);
      checkSystem(system);
    });
  });

  test("a scheduler that cannot reach the store is replaced and links to the later scheduler", async () => {
    await runOnNodes({ nodes: 3, workers: 4, runMs: 50 }, async (system) => {
      const scheduler = system.findScheduler();
      scheduler.storeAccess.isClosed = true;
      await waitFor(() => system.findScheduler() !== scheduler, 6_000);
      await new Promise((resolve) => setTimeout(resolve, 1_500));

      const reply = await postJob(scheduler, createId(1), { tasks: 8 });

      assert.equal(reply.status, 200);
      const links = scheduler.logs.filter(({ event }) => event === "linked");
      assert.equal(links.at(-1)?.epoch, 2);
      assert.ok(!scheduler.logs.some(({ isSolo }) => isSolo === true));
    });
  });

  test("a scheduler that notices its replacement only after its VMs have left still links to the later scheduler", async () => {
    await runOnNodes({ nodes: 3, workers: 4, runMs: 50 }, async (system) => {
      const scheduler = system.findScheduler();
      for (const { faults } of system.workers) faults.lateRefusalMs = 600;
      scheduler.storeAccess.isClosed = true;
      await waitFor(() => system.findScheduler() !== scheduler, 6_000);
      const isLinked = () =>
        scheduler.logs.some(({ event, epoch }) =>
          event === "linked" && epoch === 2
        );
      await waitFor(isLinked, 6_000);

      const reply = await postJob(scheduler, createId(1), { tasks: 8 });

      assert.equal(reply.status, 200);
      assert.ok(!scheduler.logs.some(({ isSolo }) => isSolo === true));
    });
  });

  test("a VM that is stopped answers jobs that it cannot finish in time with status 504", async () => {
    await runOnNodes(
      { nodes: 2, workers: 1, runMs: 60_000 },
      async (system) => {
        const scheduler = system.findScheduler();
        const other = system.nodes.find((node) => node !== scheduler);
        assert.ok(other);
        const reply = postJob(other, createId(1), {
          waitMs: 20_000,
          body: {
            spec: "{}",
            bestEffort: true,
            steps: [{ count: 1, cpu: 6_800, memMb: 64, estimateMs: 60_000 }],
          },
        });
        await new Promise((resolve) => setTimeout(resolve, 300));
        other.child.kill("SIGTERM");

        assert.equal((await reply).status, 504);
        assert.equal(await other.exited, 0);
      },
    );
  });

  // The last requests before the exit were started, and their connections ended
  // without an answer: those read while the open jobs were being abandoned, and
  // those whose jobs were being stored.
  test("a VM that is stopped answers every request that it has read", async () => {
    await runOnNodes({ nodes: 2, workers: 6, runMs: 300 }, async (system) => {
      const scheduler = system.findScheduler();
      const other = system.nodes.find((node) => node !== scheduler);
      assert.ok(other);
      const ids: string[] = [];
      const lost: string[] = [];
      let isOver = false;
      other.exited.then(() => isOver = true);
      const send = async (index: number) => {
        const id = createId(index);
        ids.push(id);
        try {
          await postJob(other, id, {
            waitMs: 1_500,
            body: {
              spec: "{}",
              bestEffort: index % 4 !== 0,
              steps: [{ count: 1, cpu: 2_000, memMb: 8, estimateMs: 300 }],
            },
          });
        } catch {
          lost.push(id);
        }
      };
      const sent: Promise<void>[] = [];
      for (let index = 0; !isOver; index += 1) {
        if (index === 20) other.child.kill("SIGTERM");
        sent.push(send(index));
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
      await Promise.all(sent);

      const read = other.logs.filter(({ event }) => event === "received")
        .map(({ job }) => job);
      assert.ok(read.length > 100, `${read.length} requests`);
      assert.deepEqual(lost.filter((id) => read.includes(id)), []);
    });
  });

  test("a scheduler that is stopped resigns, completes its open jobs and exits by itself", async () => {
    await runOnNodes({ nodes: 2, workers: 2, runMs: 300 }, async (system) => {
      const scheduler = system.findScheduler();
      const replies = Array.from(
        { length: 6 },
        (_, index) => postJob(system.nodes[index % 2], createId(index)),
      );
      await new Promise((resolve) => setTimeout(resolve, 100));
      scheduler.child.kill("SIGTERM");

      const statuses = (await Promise.all(replies)).map(({ status }) => status);

      assert.deepEqual(statuses, Array(6).fill(200));
      assert.equal(await scheduler.exited, 0);
      checkSystem(system);
    });
  });
});
