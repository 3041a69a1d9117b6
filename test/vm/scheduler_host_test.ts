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

/** As the scheduler before had told them; the first is the new one. */
const VMS: LinkedVm[] = [1, 2, 3, 4].map((number) => ({
  name: `vm-${number}`,
  dataCentre: "a",
  address: `${number}:1`,
}));

/** Which of a data centre's endpoints a VM uses while it serves alone. */
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

describe("what a scheduler tells of the other VMs", () => {
  let nowMs = 0;
  let host: SchedulerHost;
  let told: Map<string, LinkedVm[]>;

  beforeEach(() => {
    nowMs = 1_000;
    told = new Map();
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
      readLoopDelayMs: () => 0,
      hasKeptJobs: false,
      runsStoredJobs: false,
      roleKey: "role",
      knownEndpoints: [],
      readRoleRevision: () => 1,
    });
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
        if (successors) told.set(vm.name, successors);
      },
      left: () => {},
      resignation: () => {},
    });
    attachment.report(createVmReport(vm));
    return attachment;
  }

  function pass(ms: number): void {
    nowMs += ms;
    mock.timers.tick(ms);
  }

  test("VMs that are cut off again while others still come have shares that do not overlap", () => {
    // The others have not been told anything by this scheduler: they go by what the one before it told.
    link(VMS[3]);
    const early = listShare(VMS[3], told.get(VMS[3].name) ?? []);
    const late = VMS.slice(1, 3).flatMap((vm) => listShare(vm, VMS));

    assert.equal(early.length, 2);
    assert.deepEqual(early.filter((id) => late.includes(id)), []);
  });

  test("linked VMs come first in the order of succession", () => {
    link(VMS[3]);
    const [first] = told.get(VMS[3].name) ?? [];
    assert.equal(first.name, VMS[3].name);
  });

  test("a VM that does not come back is forgotten after a while", () => {
    link(VMS[3]);
    link(VMS[2]).lost("silent");
    pass(100);
    assert.equal(told.get(VMS[3].name)?.length, 4);
    pass(16_000);
    assert.deepEqual(
      told.get(VMS[3].name)?.map(({ name }) => name),
      [VMS[3].name, VMS[0].name],
    );
  });
});
