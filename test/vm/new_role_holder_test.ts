import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { SINGLE_GROUP } from "../../src/group/single_group.ts";
import { createStoredJobsView } from "../../src/vm/create_stored_jobs_view.ts";
import { createOpenJobs } from "../../src/vm/create_open_jobs.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";
import { followScheduler } from "../../src/vm/follow_scheduler.ts";
import { formatRowKeys } from "../../src/vm/format_row_keys.ts";
import type { openRemoteLink } from "../../src/vm/open_remote_link.ts";
import type { SchedulerLink } from "../../src/vm/scheduler_link.ts";
import type { SchedulerRow } from "../../src/vm/scheduler_row.ts";
import type { WatchableTable } from "../../src/vm/watchable_table.ts";
import { createIdleHost } from "../fixtures/create_idle_host.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";
import { createVmSettings } from "../fixtures/create_vm_settings.ts";

const KEYS = formatRowKeys(SINGLE_GROUP);
/** A role holder that has written its row and accepts no links yet: it still leaves its earlier scheduler, or its processor is busy. */
const HOLDER: SchedulerRow = {
  vm: "vm-1",
  incarnation: "first",
  address: "one:1",
  epoch: 2,
};

const LINK: SchedulerLink = {
  epoch: 2,
  isSolo: false,
  submit: () => {},
  abandon: () => {},
  leave: () => Promise.resolve(),
  close: () => {},
};

describe("a VM that can't link to a new role holder", () => {
  let nowMs = 0;
  let epochs: number[] = [];
  let table: ReturnType<typeof createMemoryTable>;
  let stop = () => {};

  async function wait(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      nowMs += 50;
      mock.timers.tick(50);
      for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
    }
  }

  /** Creates a table whose clock is the one of the test. */
  function createTable(): WatchableTable {
    return {
      ...table,
      scan: async (prefix, since) => ({
        ...await table.scan(prefix, since),
        atMs: nowMs,
      }),
    };
  }

  function follow(openLink: typeof openRemoteLink): void {
    const ticker = createTicker();
    const jobs = createOpenJobs(() => {});
    const follower = followScheduler({
      settings: createVmSettings({ name: "vm-2", peerAddress: "two:1" }),
      incarnation: "second",
      group: SINGLE_GROUP,
      hasOtherGroups: false,
      ports: {
        table: createTable(),
        readEndpoints: () => Promise.resolve([]),
        createEndpointClient: () => {
          throw new Error("No endpoints here");
        },
      },
      ticker,
      jobs,
      log: () => {},
      readReport: () => createVmReport({ name: "vm-2", address: "two:1" }),
      startHost: ({ epoch, soloPeers }) => {
        if (!soloPeers) epochs.push(epoch);
        return createIdleHost(epoch);
      },
      onVersionSeen: () => {},
      storedJobsView: createStoredJobsView(),
      onHolderFound: () => {},
      openLink,
    });
    stop = () => {
      follower.stop();
      ticker.stop();
      jobs.close();
    };
  }

  beforeEach(async () => {
    nowMs = 1_000;
    epochs = [];
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => nowMs);
    table = createMemoryTable();
    await table.transact([
      { type: "insert", key: KEYS.scheduler, value: HOLDER },
      {
        type: "write",
        key: KEYS.heartbeat,
        value: { epoch: 2, storeMs: nowMs },
      },
    ]);
  });

  afterEach(() => {
    stop();
    mock.timers.reset();
    mock.restoreAll();
  });

  test("waits longer while the role holder's process answers", async () => {
    // The process accepts no links yet, and redirects to the role holder that it knows.
    follow(({ onRedirect }) => {
      onRedirect(HOLDER);
      return Promise.reject(new Error("closed"));
    });
    await wait(800);
    assert.deepEqual(epochs, []);

    await wait(400);
    assert.deepEqual(epochs, [3]);
  });

  /** Opens no link before `answersAfterMs`, as a process does whose processor is busy. */
  function openSlowly(answersAfterMs: number) {
    const attempts: number[] = [];
    const openLink: typeof openRemoteLink = (
      { openTimeoutMs = 400, onSlow = () => {} },
    ) => {
      attempts.push(nowMs);
      setTimeout(onSlow, 400);
      return new Promise((resolve, reject) => {
        setTimeout(() => reject(new Error("silent")), openTimeoutMs);
        if (answersAfterMs < Infinity) {
          setTimeout(() => resolve(LINK), answersAfterMs);
        }
      });
    };
    return { attempts, openLink };
  }

  test("asks a slow role holder once, as each further request would cost it another handshake", async () => {
    const { attempts, openLink } = openSlowly(900);
    follow(openLink);
    for (let beat = 0; beat < 10; beat += 1) {
      const value = { epoch: 2, storeMs: nowMs };
      await table.transact([{ type: "write", key: KEYS.heartbeat, value }]);
      await wait(100);
    }
    assert.equal(attempts.length, 1);
    assert.deepEqual(epochs, []);
  });

  test("takes over while a role holder without heartbeat opens no link", async () => {
    const { openLink } = openSlowly(Infinity);
    follow(openLink);
    await wait(1_150);
    assert.deepEqual(epochs, [3]);
  });

  test("takes over early when the role holder's address refuses connections", async () => {
    follow(() => Promise.reject(new Error("closed")));
    await wait(500);
    assert.deepEqual(epochs, [3]);
  });
});
