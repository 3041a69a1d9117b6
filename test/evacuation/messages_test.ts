import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { createEvacuationsView } from "../../src/evacuation/create_evacuations_view.ts";
import type { Evacuations } from "../../src/evacuation/evacuations.ts";
import type { LinkEvents } from "../../src/vm/link_events.ts";
import type { SchedulerHost } from "../../src/vm/scheduler_host.ts";
import type { SchedulerStatus } from "../../src/vm/scheduler_status.ts";
import { startSchedulerHost } from "../../src/vm/start_scheduler_host.ts";
import { createMemoryTable } from "../fixtures/create_memory_table.ts";
import { createVmReport } from "../fixtures/create_vm_report.ts";
import { createVmSettings } from "../fixtures/create_vm_settings.ts";

/** Time in which the scheduler takes a list over and sends its next heartbeat, in ms. */
const HEARTBEAT_MS = 120;

describe("a scheduler and its VMs tell each other of evacuations", () => {
  let nowMs = 0;
  let host: SchedulerHost;
  let stored: Evacuations | undefined;
  let statuses: SchedulerStatus[];

  beforeEach(() => {
    nowMs = 1_000;
    stored = { revision: 4, dataCentres: [] };
    statuses = [];
    mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    mock.method(performance, "now", () => nowMs);
    host = startSchedulerHost({
      epoch: 2,
      token: 200,
      isSolo: false,
      settings: createVmSettings({ name: "vm-1" }),
      ports: {
        table: createMemoryTable(),
        readEndpoints: () => Promise.resolve([]),
        createEndpointClient: () => {
          throw new Error("No endpoints here");
        },
      },
      log: () => {},
      onSuperseded: () => {},
      vms: [],
      configurationVersion: () => 1,
      evacuations: createEvacuationsView({
        readStored: () => stored,
        isExpected: () => false,
        log: () => {},
      }),
      readReport: () => ({ loopDelayMs: 0, slowedMs: 0 }),
      hasKeptJobs: false,
      roleKey: "role",
      knownEndpointIds: [],
      readRoleRevision: () => 1,
    });
  });

  afterEach(() => {
    host.stop();
    mock.timers.reset();
    mock.restoreAll();
  });

  function attach() {
    const events = {
      status: (status: SchedulerStatus) => statuses.push(status),
      left: () => {},
    } as unknown as LinkEvents;
    return host.attach("vm-2", events);
  }

  function run(): SchedulerStatus {
    nowMs += HEARTBEAT_MS;
    mock.timers.tick(HEARTBEAT_MS);
    return statuses[statuses.length - 1];
  }

  test("where there has been none, nothing is said of them", () => {
    attach().report(createVmReport({ name: "vm-2" }));

    assert.equal(run().evacuations, undefined);
  });

  test("a VM that does not know of one is told until it does", () => {
    stored = { revision: 9, dataCentres: ["a"] };
    const attachment = attach();
    attachment.report(createVmReport({ name: "vm-2" }));
    assert.deepEqual(run().evacuations, stored);
    const evacuations = { revision: 11, dataCentres: ["a"] };
    attachment.report(createVmReport({ name: "vm-2", evacuations }));

    assert.equal(run().evacuations, undefined);
  });

  test("a scheduler that is cut off from the store learns of one, and of its end, from a VM", () => {
    stored = undefined;
    const reader = attach();
    const evacuated = { revision: 9, dataCentres: ["a"] };
    reader.report(createVmReport({ name: "vm-2", evacuations: evacuated }));
    run();
    const other = host.attach(
      "vm-3",
      {
        status: (status: SchedulerStatus) => statuses.push(status),
        left: () => {},
      } as unknown as LinkEvents,
    );
    other.report(createVmReport({ name: "vm-3" }));
    assert.deepEqual(run().evacuations, evacuated);
    const open = { revision: 12, dataCentres: [] };
    reader.report(createVmReport({ name: "vm-2", evacuations: open }));

    assert.deepEqual(run().evacuations, open);
  });

  test("a VM that knows less does not end one", () => {
    stored = { revision: 9, dataCentres: ["a"] };
    const evacuations = { revision: 4, dataCentres: [] };
    attach().report(createVmReport({ name: "vm-2", evacuations }));

    assert.deepEqual(run().evacuations, stored);
  });
});
