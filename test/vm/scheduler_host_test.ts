import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { computeEndpointShare } from "../../src/decide/compute_endpoint_share.ts";
import { startSchedulerHost } from "../../src/vm/start_scheduler_host.ts";
import type { Attachment } from "../../src/vm/attachment.ts";
import type { LinkedVm } from "../../src/vm/linked_vm.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";
import { createVmSettings } from "../fixtures/create_vm_settings.ts";

/** The VMs as listed by the earlier scheduler; the first one is the later scheduler. */
const VMS: LinkedVm[] = [1, 2, 3, 4].map((number) => ({
  name: `vm-${number}`,
  dataCentre: "a",
  address: `${number}:1`,
}));

/** Lists the endpoints of a data centre that a VM uses in solo mode. */
function listShare(vm: LinkedVm, among: LinkedVm[]): string[] {
  const rows = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"].map((id) => ({
    id,
    address: "127.0.0.1:1",
    service: "layout",
    dataCentre: "a",
    labels: [],
    room: { cpu: 1, memoryMb: 1, gpus: 0 },
    isDraining: false,
  }));
  return computeEndpointShare(rows, vm, among).map(({ id }) => id);
}

describe("a scheduler's list of VMs", () => {
  let nowMs = 0;
  let host: SchedulerHost;
  let receivedLists: Map<string, LinkedVm[]>;

  beforeEach(() => {
    nowMs = 1_000;
    receivedLists = new Map();
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => nowMs);
    host = startSchedulerHost({
      epoch: 2,
      token: 200,
      isSolo: false,
      settings: createVmSettings({
        name: VMS[0].name,
        peerAddress: VMS[0].address,
      }),
      ports: {
        table: createMemoryTable(),
        readEndpoints: () => Promise.resolve([]),
        createEndpointClient: () => {
          throw new Error("No endpoints here");
        },
      },
      log: () => {},
      onSuperseded: () => {},
      vms: VMS.slice(1),
      configurationVersion: () => 1,
      readReport: () => ({ loopDelayMs: 0, slowedMs: 0 }),
      hasKeptJobs: false,
      roleKey: "role",
      knownEndpointIds: [],
      readRoleRevision: () => 1,
    });
    host.setRunsStoredJobs(false);
  });

  afterEach(() => {
    host.stop();
    mock.timers.reset();
    mock.restoreAll();
  });

  function link(vm: LinkedVm): Attachment {
    const attachment = host.attach(vm.name, {
      placed: () => {},
      done: () => {},
      ended: () => {},
      passed: () => {},
      status: ({ successors }) => {
        if (successors) receivedLists.set(vm.name, successors);
      },
      left: () => {},
      resignation: () => {},
    });
    attachment.report(createVmReport(vm));
    return attachment;
  }

  function advance(ms: number): void {
    nowMs += ms;
    mock.timers.tick(ms);
  }

  test("gives VMs that are cut off before all others are linked shares that do not overlap", () => {
    // The other VMs have received no list from this scheduler and use the list of the earlier scheduler.
    link(VMS[3]);
    const ownShare = listShare(VMS[3], receivedLists.get(VMS[3].name) ?? []);
    const otherShares = VMS.slice(1, 3).flatMap((vm) => listShare(vm, VMS));

    assert.equal(ownShare.length, 2);
    assert.deepEqual(ownShare.filter((id) => otherShares.includes(id)), []);
  });

  test("starts with the linked VMs, in succession order", () => {
    link(VMS[3]);
    const [first] = receivedLists.get(VMS[3].name) ?? [];
    assert.equal(first.name, VMS[3].name);
  });

  test("drops a VM that is not linked again after some time", () => {
    link(VMS[3]);
    link(VMS[2]).handleLost("silent");
    advance(100);
    assert.equal(receivedLists.get(VMS[3].name)?.length, 4);
    advance(16_000);
    assert.deepEqual(
      receivedLists.get(VMS[3].name)?.map(({ name }) => name),
      [VMS[3].name, VMS[0].name],
    );
  });
});
