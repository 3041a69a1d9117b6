import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createSlowdownMonitor } from "../../src/vm/create_slowdown_monitor.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";
import { decideTakeover } from "../../src/vm/decide_takeover.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";
import { createHostWorld } from "../fixtures/create_host_world.ts";

describe("a VM whose processor becomes slow", () => {
  let usage = { activeMs: 0, cpuMs: 0 };
  let ticker: ReturnType<typeof createTicker>;

  beforeEach(() => {
    usage = { activeMs: 0, cpuMs: 0 };
    mock.timers.enable({ apis: ["setInterval"] });
    ticker = createTicker();
  });
  afterEach(() => {
    ticker.stop();
    mock.timers.reset();
  });

  function watch(strength: number) {
    return createSlowdownMonitor(ticker, {
      strength,
      readUsage: () => ({ ...usage }),
    });
  }

  /** Passes one sample interval in which the event loop was active for `activeMs` and computed for `cpuMs`. */
  function pass(activeMs: number, cpuMs: number): void {
    usage.activeMs += activeMs;
    usage.cpuMs += cpuMs;
    mock.timers.tick(100);
  }

  test("finds out within half a second, and again when it is over", () => {
    const monitor = watch(0.7);
    for (let sample = 0; sample < 20; sample += 1) pass(60, 40);
    assert.equal(monitor.readSlowedMs(), 0);
    for (let sample = 0; sample < 5; sample += 1) pass(100, 14);
    assert.ok(monitor.readSlowedMs() > 0);
    for (let sample = 0; sample < 5; sample += 1) pass(60, 40);
    assert.equal(monitor.readSlowedMs(), 0);
  });

  test("is not taken for slow while it waits for its usual share of the processor", () => {
    const monitor = watch(0.25);
    for (let sample = 0; sample < 20; sample += 1) pass(100, 25);
    assert.equal(monitor.readSlowedMs(), 0);
  });

  test("is not judged while it is idle", () => {
    const monitor = watch(1);
    for (let sample = 0; sample < 20; sample += 1) pass(1, 0.1);
    assert.equal(monitor.readSlowedMs(), 0);
  });

  test("takes over only after the others", () => {
    const seen = {
      how: "silent",
      lostForMs: 2_000,
      beatAgeMs: 600,
      rank: 0,
      isDraining: false,
      isVacant: false,
      isNew: false,
    } as const;
    assert.equal(decideTakeover({ ...seen, isSlowed: false }), "takeOver");
    assert.equal(decideTakeover({ ...seen, isSlowed: true }), "wait");
  });
});

describe("a scheduler on a VM whose processor becomes slow", () => {
  let world: ReturnType<typeof createHostWorld>;
  let slowedMs = 0;
  let host: SchedulerHost;
  let resigned: string[] = [];

  beforeEach(() => {
    slowedMs = 0;
    resigned = [];
    world = createHostWorld({ workMs: 100 });
    host = world.startHost("vm-1", {
      token: 100,
      readSlowedMs: () => slowedMs,
    });
  });
  afterEach(() => world.stop());

  function link(name: string, report: { slowedMs?: number } = {}): void {
    const attachment = host.attach(name, {
      placed: () => {},
      done: () => {},
      ended: () => {},
      passed: () => {},
      status: () => {},
      left: () => {},
      resignation: (reason) => resigned.push(`${name}: ${reason}`),
    });
    attachment.report(createVmReport({ name, ...report }));
  }

  test("resigns to a VM that is not slowed, once the slowed ones are known", async () => {
    link("vm-2", { slowedMs: 100 });
    link("vm-3");
    await world.advance(1_500);
    assert.deepEqual(resigned, []);
    slowedMs = 100;
    await world.advance(200);
    assert.deepEqual(resigned, []);
    slowedMs = 450;
    await world.advance(200);

    assert.deepEqual(resigned, ["vm-3: slow"]);
  });

  test("keeps the role where all VMs are slowed", async () => {
    link("vm-2", { slowedMs: 100 });
    await world.advance(1_500);
    slowedMs = 1_000;
    await world.advance(1_000);

    assert.deepEqual(resigned, []);
  });
});
