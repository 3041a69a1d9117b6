import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createStoredJobsView } from "../../src/vm/create_stored_jobs_view.ts";
import { createOpenJobs } from "../../src/vm/create_open_jobs.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";
import { followScheduler } from "../../src/vm/follow_scheduler.ts";
import { formatRowKeys } from "../../src/vm/format_row_keys.ts";
import type { LinkedVm } from "../../src/vm/linked_vm.ts";
import type { openRemoteLink } from "../../src/vm/open_remote_link.ts";
import type { SchedulerLink } from "../../src/vm/scheduler_link.ts";
import type { SchedulerRow } from "../../src/vm/scheduler_row.ts";
import { startSchedulerHost } from "../../src/vm/start_scheduler_host.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createOrder } from "../fixtures/create_scheduler_driver.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";
import { createVmSettings } from "../fixtures/create_vm_settings.ts";

type Opened = {
  address: string;
  events: Parameters<typeof openRemoteLink>[0]["events"];
  onLost: (how: "closed" | "silent") => void;
  isClosed: boolean;
  submitted: string[];
};
type Start = Parameters<Parameters<typeof followScheduler>[0]["startHost"]>[0];

const KEYS = formatRowKeys("a");
const realImmediate = setImmediate;

function createVms(names: string[]): LinkedVm[] {
  return names.map((name) => ({ name, dataCentre: "a", address: name }));
}

describe("a VM that follows its group's scheduler", () => {
  let nowMs = 0;
  let table: ReturnType<typeof createMemoryTable>;
  let isStoreLost = false;
  let vms: string[] = [];
  /** Time that a scheduler takes to send its remaining messages to a VM that leaves, in ms. */
  let leaveMs = 0;
  let canOpen = true;
  let opened: Opened[] = [];
  let starts: Start[] = [];
  let hosts: ReturnType<typeof startSchedulerHost>[] = [];
  let jobs: ReturnType<typeof createOpenJobs>;
  let ticker: ReturnType<typeof createTicker>;
  let follower: ReturnType<typeof followScheduler>;
  let watchCallbacks: (() => void)[] = [];

  const openLink: typeof openRemoteLink = (
    { address, events, onLost },
  ) => {
    if (!canOpen) return Promise.reject(new Error("silent"));
    const link: Opened = {
      address,
      events,
      onLost,
      isClosed: false,
      submitted: [],
    };
    opened.push(link);
    const { epoch } = readRow();
    events.status({
      epoch,
      configurationVersion: 1,
      successors: createVms(vms),
      hasKeptJobs: false,
      backlogsMs: {},
    });
    const found: SchedulerLink = {
      epoch,
      isSolo: false,
      submit: ({ id }) => link.submitted.push(id),
      abandon: () => {},
      leave: () => new Promise((resolve) => setTimeout(resolve, leaveMs)),
      close: () => {
        link.isClosed = true;
      },
    };
    return Promise.resolve(found);
  };

  function readRow(): SchedulerRow {
    return table.rows.get(KEYS.scheduler)?.value as SchedulerRow;
  }

  /** Writes the rows with which another VM takes the role, and completes the watch, which returns them. */
  async function writeHolder(vm: string): Promise<void> {
    const epoch = (readRow()?.epoch ?? 0) + 1;
    const value = { vm, incarnation: vm, address: vm, epoch };
    await table.transact([
      { type: "write", key: KEYS.scheduler, value },
      { type: "write", key: KEYS.heartbeat, value: { epoch, storeMs: 1e9 } },
    ]);
    for (const callback of watchCallbacks.splice(0)) callback();
  }

  async function wait(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      nowMs += 10;
      mock.timers.tick(10);
      await new Promise((resolve) => realImmediate(resolve));
    }
  }

  function follow(name: string): void {
    const settings = createVmSettings({ name, peerAddress: name });
    const scan: typeof table.scan = (prefix, since) =>
      isStoreLost
        ? Promise.reject(new Error("lost"))
        : table.scan(prefix, since);
    const ports = {
      table: {
        ...table,
        scan,
        watch: async (prefix: string) => {
          await new Promise<void>((resolve) => watchCallbacks.push(resolve));
          return await scan(prefix, 0);
        },
      },
      readEndpoints: () => Promise.resolve([]),
      createEndpointClient: () => {
        throw new Error("there are no endpoints");
      },
    };
    jobs = createOpenJobs(() => {});
    ticker = createTicker();
    follower = followScheduler({
      settings,
      incarnation: name,
      group: "a",
      hasOtherGroups: false,
      ports,
      ticker,
      jobs,
      log: () => {},
      readReport: () =>
        createVmReport({
          name,
          address: name,
          isStoreReachable: !isStoreLost,
        }),
      startHost: (start) => {
        starts.push(start);
        const host = startSchedulerHost({
          ...start,
          isSolo: start.soloPeers !== undefined,
          settings,
          ports,
          log: () => {},
          configurationVersion: () => 1,
          readReport: () => ({ loopDelayMs: 0, slowedMs: 0 }),
          roleKey: KEYS.scheduler,
          knownEndpointIds: [],
        });
        host.setRunsStoredJobs(false);
        hosts.push(host);
        return host;
      },
      onVersionSeen: () => {},
      storedJobsView: createStoredJobsView(),
      onHolderFound: () => {},
      openLink,
    });
  }

  beforeEach(() => {
    nowMs = 1_000;
    table = createMemoryTable();
    isStoreLost = false;
    vms = ["a-1", "a-2", "a-4", "a-9"];
    leaveMs = 0;
    canOpen = true;
    opened = [];
    starts = [];
    hosts = [];
    watchCallbacks = [];
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "setImmediate"] });
    mock.method(performance, "now", () => nowMs);
  });
  afterEach(() => {
    follower.stop();
    for (const host of hosts) host.stop();
    jobs.close();
    ticker.stop();
    mock.timers.reset();
    mock.restoreAll();
  });

  /** Makes the scheduler and the store unresponsive. */
  async function cutOff(): Promise<void> {
    isStoreLost = true;
    canOpen = false;
    opened.at(-1)?.onLost("silent");
    await wait(1_500);
  }

  test("counts VMs that are not linked again yet when it re-enters solo mode", async () => {
    await writeHolder("a-9");
    follow("a-4");
    await wait(100);
    await cutOff();
    assert.equal(starts.length, 1);
    // This VM is linked again before a-1 and a-2 are.
    vms = ["a-4", "a-9"];
    canOpen = true;
    await wait(500);
    assert.equal(jobs.hasLink(), true);
    await cutOff();

    assert.deepEqual(starts.map(({ token }) => token), [103, 103]);
    assert.deepEqual(
      starts.map(({ soloPeers }) => soloPeers?.map(({ name }) => name).sort()),
      [["a-1", "a-2", "a-4", "a-9"], ["a-1", "a-2", "a-4", "a-9"]],
    );
  });

  test("knows the other VMs after it was in solo mode", async () => {
    await writeHolder("a-9");
    follow("a-4");
    await wait(100);
    await cutOff();
    assert.equal(starts.length, 1);
    await table.transact([
      {
        type: "write",
        key: KEYS.heartbeat,
        value: { epoch: 1, storeMs: -1e9 },
      },
    ]);
    isStoreLost = false;
    await wait(1_000);

    assert.equal(readRow().vm, "a-4");
    assert.deepEqual(starts[1].vms.map(({ name }) => name), [
      "a-1",
      "a-2",
      "a-9",
    ]);
  });

  test("does not start a scheduler once another VM has the role", async () => {
    await writeHolder("a-9");
    follow("a-4");
    await wait(100);
    leaveMs = 200;
    opened[0].events.resignation("stop");
    await wait(100);
    assert.equal(readRow().vm, "a-4");
    await writeHolder("a-1");
    await wait(500);

    assert.equal(follower.findHost(), undefined);
    assert.equal(readRow().vm, "a-1");
    assert.equal(opened.at(-1)?.address, "a-1");
  });

  test("has one scheduler when it takes over while it moves to another", async () => {
    await writeHolder("a-9");
    follow("a-4");
    await wait(100);
    leaveMs = 200;
    await writeHolder("a-1");
    await wait(50);
    assert.equal(opened.length, 2);
    opened[0].events.resignation("storeLost");
    await wait(1_000);

    assert.equal(readRow().vm, "a-4");
    assert.notEqual(follower.findHost(), undefined);
    assert.deepEqual(opened.map(({ isClosed }) => isClosed), [true, true]);
  });

  test("keeps its own jobs when it takes over while it leaves a scheduler that has stopped", async () => {
    await writeHolder("a-9");
    follow("a-4");
    await wait(100);
    leaveMs = 200;
    await writeHolder("a-1");
    await wait(50);
    assert.equal(opened.length, 2);
    opened[0].events.resignation("stop");
    opened[0].onLost("closed");
    await wait(500);
    jobs.submit(createOrder({ id: "j1" }), () => {});
    await wait(3_000);

    assert.equal(readRow().vm, "a-4");
    assert.equal(opened[1].isClosed, true);
    assert.deepEqual(opened[1].submitted, []);
    assert.equal(starts.length, 1);
  });

  test("does not enter solo mode before it knows the other VMs", async () => {
    await writeHolder("a-9");
    canOpen = false;
    follow("a-4");
    await wait(100);
    isStoreLost = true;
    await wait(5_000);

    assert.deepEqual(starts, []);
  });
});
