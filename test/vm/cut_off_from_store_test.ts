import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { SINGLE_GROUP } from "../../src/group/single_group.ts";
import { createOpenJobs } from "../../src/vm/create_open_jobs.ts";
import { createStoredJobsView } from "../../src/vm/create_stored_jobs_view.ts";
import { createTicker } from "../../src/vm/create_ticker.ts";
import { followScheduler } from "../../src/vm/follow_scheduler.ts";
import { formatRowKeys } from "../../src/vm/format_row_keys.ts";
import type { openRemoteLink } from "../../src/vm/open_remote_link.ts";
import type { SchedulerRow } from "../../src/vm/scheduler_row.ts";
import { createIdleHost } from "../fixtures/create_idle_host.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";
import { createVmSettings } from "../fixtures/create_vm_settings.ts";

type LinkOptions = Parameters<typeof openRemoteLink>[0];

const KEYS = formatRowKeys(SINGLE_GROUP);
const SUCCESSORS = ["vm-1", "vm-2", "vm-3", "vm-4"].map((name) => ({
  name,
  dataCentre: "a",
  address: name,
}));
/** Time-out of a call of the store, in ms. */
const STORE_TIMEOUT_MS = 1_000;
/** Long enough to enter solo mode, in ms. */
const LONG_MS = 2_500;

function createHolder(vm: string, epoch: number): SchedulerRow {
  return { vm, incarnation: `${vm}-${epoch}`, address: vm, epoch };
}

describe("a VM that is cut off from the store, but not from the other VMs", () => {
  let nowMs = 0;
  let isStoreLost = false;
  /** The role holder that the other VMs know, except vm-1, which is cut off as well. */
  let holder: SchedulerRow;
  let opened: LinkOptions[] = [];
  let jobs: ReturnType<typeof createOpenJobs>;
  let onSuperseded: (share: number) => void = () => {};
  let follower: ReturnType<typeof followScheduler>;
  let stop = () => {};

  const openLink: typeof openRemoteLink = (options) => {
    if (options.address !== holder.vm) {
      const isCutOff = options.address === "vm-1";
      options.onRedirect(isCutOff ? createHolder("vm-1", 1) : holder);
      return Promise.reject(new Error("closed"));
    }
    opened.push(options);
    options.events.status({
      epoch: holder.epoch,
      configurationVersion: 1,
      successors: SUCCESSORS,
      hasKeptJobs: false,
      backlogsMs: {},
    });
    return Promise.resolve({
      epoch: holder.epoch,
      isSolo: false,
      submit: () => {},
      abandon: () => {},
      leave: () => Promise.resolve(),
      close: () => {},
    });
  };

  async function wait(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      nowMs += 50;
      mock.timers.tick(50);
      for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
    }
  }

  async function follow(name: string, first: SchedulerRow): Promise<void> {
    holder = first;
    const table = createMemoryTable();
    await table.transact([
      { type: "insert", key: KEYS.scheduler, value: first },
      {
        type: "insert",
        key: KEYS.heartbeat,
        value: { epoch: 1, storeMs: 1e9 },
      },
    ]);
    const ticker = createTicker();
    jobs = createOpenJobs(() => {});
    follower = followScheduler({
      settings: createVmSettings({ name, peerAddress: name }),
      incarnation: `${name}-1`,
      group: SINGLE_GROUP,
      hasOtherGroups: false,
      ports: {
        table: {
          ...table,
          scan: (prefix, since) =>
            isStoreLost
              ? new Promise((_, reject) =>
                setTimeout(() => reject(new Error("lost")), STORE_TIMEOUT_MS)
              )
              : table.scan(prefix, since),
          watch: () => new Promise(() => {}),
        },
        readEndpoints: () => Promise.resolve([]),
        createEndpointClient: () => {
          throw new Error("No endpoints here");
        },
      },
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
        onSuperseded = start.onSuperseded;
        return createIdleHost(start.epoch);
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
    await wait(200);
  }

  beforeEach(() => {
    nowMs = 1_000;
    isStoreLost = false;
    opened = [];
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => nowMs);
  });
  afterEach(() => {
    stop();
    mock.timers.reset();
    mock.restoreAll();
  });

  test("links to a later role holder that another VM names", async () => {
    await follow("vm-2", createHolder("vm-1", 1));
    isStoreLost = true;
    holder = createHolder("vm-3", 2);
    opened[0].events.left();
    await wait(100);

    assert.deepEqual(opened.map(({ address }) => address), ["vm-1", "vm-3"]);
  });

  test("asks the other VMs also in solo mode", async () => {
    await follow("vm-2", createHolder("vm-1", 1));
    isStoreLost = true;
    // All VMs know only the holder that is gone.
    holder = createHolder("vm-9", 1);
    opened[0].onLost("closed");
    await wait(LONG_MS);
    assert.equal(opened.length, 1);
    holder = createHolder("vm-3", 2);
    await wait(STORE_TIMEOUT_MS + 200);

    assert.deepEqual(opened.map(({ address }) => address), ["vm-1", "vm-3"]);
  });

  test("stops its own scheduler as soon as a VM has left for a later one", async () => {
    await follow("vm-2", createHolder("vm-1", 1));
    opened[0].events.resignation("stop");
    await wait(200);
    assert.equal(follower.findHost()?.epoch, 2);
    isStoreLost = true;
    holder = createHolder("vm-3", 3);
    onSuperseded(1);
    await wait(100);

    assert.equal(follower.findHost(), undefined);
    assert.equal(opened.at(-1)?.address, "vm-3");
  });
});
