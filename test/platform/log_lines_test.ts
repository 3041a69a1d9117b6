import assert from "node:assert/strict";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { describe, test } from "node:test";
import type { EventName } from "../../src/log/event_name.ts";
import { LOG_EVENTS } from "../../src/log/log_events.ts";
import { callNode } from "../fixtures/call_node.ts";
import { createId } from "../fixtures/create_id.ts";
import { postJob } from "../fixtures/post_job.ts";
import { runOnNodes } from "../fixtures/run_on_nodes.ts";
import type { TestNode } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

/** Waits until a VM has logged an event with the given fields, and returns the line. */
async function waitForLine(
  node: TestNode,
  event: EventName,
  fields: Record<string, unknown> = {},
): Promise<TestNode["logs"][number]> {
  const isWanted = (line: TestNode["logs"][number]) =>
    line.event === event &&
    Object.entries(fields).every(([name, value]) => line[name] === value);
  await waitFor(() => node.logs.some(isWanted));
  return node.logs.find(isWanted) as TestNode["logs"][number];
}

/** Checks that every line is a known event and has no fields other than those of its event. */
function checkLines(nodes: TestNode[]): void {
  for (
    const { event, atMs, process: vm, ...fields } of nodes.flatMap(({ logs }) =>
      logs
    )
  ) {
    const names: readonly string[] | undefined = LOG_EVENTS[event as EventName];
    assert.ok(names, `${event} is not in the table`);
    assert.ok(Number(atMs) > 0 && typeof vm === "string");
    const unknown = Object.keys(fields).filter((name) => !names.includes(name));
    assert.deepEqual(unknown, [], event);
  }
}

/** Submits a best-effort job and disconnects before the answer. */
function disconnectEarly({ callerAddress }: TestNode, id: string): void {
  const [host, port] = callerAddress.split(":");
  const headers = { host: "layout.example" };
  const path = `/proofs/${id}`;
  const sent = request({ host, port, method: "POST", path, headers });
  sent.on("error", () => {});
  sent.end(JSON.stringify({
    spec: "{}",
    bestEffort: true,
    steps: [{ count: 1, cpu: 6_800, memMb: 64, estimateMs: 300 }],
  }));
  setTimeout(() => sent.destroy(), 100);
}

describe("the log lines of a VM", () => {
  test("the lines of a request carry its id from receipt to answer, on every VM", async () => {
    await runOnNodes({ nodes: 2, workers: 2, runMs: 300 }, async (system) => {
      const [node] = system.nodes;
      const scheduler = system.findScheduler();
      const job = createId(1);
      await postJob(node, job);

      await waitForLine(node, "received", { job, route: "/proofs/" });
      await waitForLine(scheduler, "jobAccepted", { job, vm: node.name });
      await waitForLine(scheduler, "taskPlaced", { task: `${job}.0.0.0` });
      await waitForLine(scheduler, "jobEnded", { job, outcome: "completed" });
      await waitForLine(node, "answered", { job, outcome: "completed" });

      disconnectEarly(node, createId(2));
      await waitForLine(node, "callerLeft", { job: createId(2) });
      checkLines(system.nodes);
    });
  });

  test("a refused request is logged with the reason and the facts behind it", async () => {
    await runOnNodes({ nodes: 1, workers: 1, runMs: 50 }, async (system) => {
      const [node] = system.nodes;
      const step = { count: 1, cpu: 6_800, memMb: 64, estimateMs: 50 };
      await postJob(node, createId(1), { body: { spec: "{}", steps: [] } });
      await postJob(node, createId(2), {
        body: { spec: "{}", steps: [{ ...step, gang: true }] },
      });
      await postJob(node, "", { path: `/nowhere/${createId(3)}` });
      await postJob(node, createId(4), {
        body: { spec: "{}", bestEffort: true, steps: [{ ...step, cpu: 1e6 }] },
      });

      await waitForLine(node, "jobInvalid", { job: createId(1) });
      await waitForLine(node, "jobUnsupported", { found: "gang" });
      await waitForLine(node, "routeUnknown", { version: 1 });
      const job = createId(4);
      await waitForLine(node, "answered", { job, reason: "neverFits" });
      await waitForLine(node, "endpointRowsMalformed", { count: 1 });
      checkLines(system.nodes);
    });
  });

  test("storing a job, its cancellation and its end record are logged", async () => {
    await runOnNodes({ nodes: 1, workers: 1, runMs: 50 }, async (system) => {
      const [node] = system.nodes;
      const job = createId(1);
      const steps = [{ count: 1, cpu: 6_800, memMb: 64, estimateMs: 50 }];
      await postJob(node, job, { body: { spec: "{}", steps } });
      await waitForLine(node, "stored", { job, outcome: "stored" });
      await waitForLine(node, "endStored", { job });

      const path = `/proofs/${createId(2)}`;
      await callNode(node, { method: "DELETE", path });
      await waitForLine(node, "cancelAsked", { isKnown: false });

      node.storeAccess.isClosed = true;
      await callNode(node, { method: "GET", path });
      await waitForLine(node, "storeNotAsked", { job: createId(2) });
      for (const watch of ["configuration", "beat", "storedJobs"]) {
        await waitForLine(node, "storeLost", { watch });
      }
      node.storeAccess.isClosed = false;
      await waitForLine(node, "storeRegained", { watch: "configuration" });
      checkLines(system.nodes);
    });
  });

  test("accepted and refused configurations and settings are logged", async () => {
    await runOnNodes({ nodes: 1, workers: 1, runMs: 50 }, async (system) => {
      const [node] = system.nodes;
      system.store.put("op", "config", "not a configuration");
      await waitForLine(node, "configurationMalformed", { version: 1 });

      const text = readFileSync(node.settingsFile, "utf8");
      appendFileSync(node.settingsFile, "[[");
      node.child.kill("SIGHUP");
      await waitForLine(node, "settingsRefused");
      writeFileSync(node.settingsFile, text);
      node.child.kill("SIGHUP");
      await waitForLine(node, "reloaded", { changed: "" });
      checkLines(system.nodes);
    });
  });

  test("a planned stop is logged by the stopping scheduler, by its successor and by the VM that links to the successor", async () => {
    await runOnNodes({ nodes: 3, workers: 1, runMs: 50 }, async (system) => {
      const stopping = system.findScheduler();
      const others = system.nodes.filter((node) => node !== stopping);
      stopping.child.kill("SIGTERM");
      await stopping.exited;

      await waitForLine(stopping, "stopping");
      const { to } = await waitForLine(stopping, "schedulerResigned", {
        reason: "stop",
      });
      await waitForLine(stopping, "drained", { jobs: 0 });
      await waitForLine(stopping, "stopped");
      const successor = others.find(({ name }) => name === to) as TestNode;
      const other = others.find((node) => node !== successor) as TestNode;
      await waitForLine(successor, "takeoverAsked", { reason: "stop" });
      await waitForLine(successor, "schedulerBegan", {
        epoch: 2,
        isSolo: false,
      });
      await waitForLine(successor, "vmLinked", { vm: other.name, epoch: 2 });
      await waitForLine(other, "linked", { epoch: 2 });
      checkLines(system.nodes);
    });
  });
});
