import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeEndpointShare } from "../../src/decide/compute_endpoint_share.ts";
import { predictCriticalPathMs } from "../../src/decide/predict_critical_path_ms.ts";
import { computeFencingToken } from "../../src/vm/compute_fencing_token.ts";
import { decideTakeover } from "../../src/vm/decide_takeover.ts";
import { createStep } from "../fixtures/create_scheduler_driver.ts";

const UNRESPONSIVE_SCHEDULER = {
  how: "silent",
  lostForMs: 2_000,
  beatAgeMs: 100,
  rank: 0,
  isDraining: false,
  isSlowed: false,
  isVacant: false,
  isNew: false,
} as const;

describe("takeover of the scheduler role", () => {
  test("a lost link alone does not make a VM take over", () => {
    assert.equal(decideTakeover(UNRESPONSIVE_SCHEDULER), "wait");
  });

  test("a VM takes over when the heartbeat has been missing for a second", () => {
    assert.equal(
      decideTakeover({ ...UNRESPONSIVE_SCHEDULER, beatAgeMs: 1_000 }),
      "takeOver",
    );
  });

  test("a new scheduler gets more time until its heartbeat, unless its link was closed", () => {
    const lostScheduler = {
      ...UNRESPONSIVE_SCHEDULER,
      isNew: true,
      beatAgeMs: 700,
    };
    assert.equal(decideTakeover(lostScheduler), "wait");
    assert.equal(
      decideTakeover({ ...lostScheduler, beatAgeMs: 1_000 }),
      "takeOver",
    );
    assert.equal(
      decideTakeover({ ...lostScheduler, how: "closed" }),
      "takeOver",
    );
  });

  test("VMs further down the succession order wait longer", () => {
    const lostScheduler = { ...UNRESPONSIVE_SCHEDULER, beatAgeMs: 500 };
    assert.equal(decideTakeover({ ...lostScheduler, rank: 0 }), "takeOver");
    assert.equal(decideTakeover({ ...lostScheduler, rank: 3 }), "wait");
    assert.equal(
      decideTakeover({ ...lostScheduler, isDraining: true }),
      "wait",
    );
  });

  test("when there has never been a scheduler, weak VMs wait longer than strong ones", () => {
    const lostScheduler = {
      ...UNRESPONSIVE_SCHEDULER,
      isVacant: true,
      beatAgeMs: undefined,
    };
    const after = (lostForMs: number, rank: number) =>
      decideTakeover({ ...lostScheduler, lostForMs, rank });
    assert.equal(after(1, 0), "takeOver");
    assert.equal(after(300, 8), "wait");
    assert.equal(after(1_000, 8), "takeOver");
  });

  test("fencing tokens of solo VMs lie between two epochs", () => {
    assert.ok(computeFencingToken(3, 0) < computeFencingToken(3, 1));
    assert.ok(computeFencingToken(3, 200) < computeFencingToken(4, 0));
  });
});

describe("endpoint shares of VMs in solo mode", () => {
  const rows = ["e1", "e2", "e3", "e4", "e5"].map((id) => ({
    id,
    address: "127.0.0.1:1",
    service: "layout",
    dataCentre: id === "e5" ? "b" : "a",
    labels: [],
    room: { cpu: 1, memoryMb: 1, gpus: 0 },
    isDraining: false,
  }));
  const vms = [
    { name: "vm-1", dataCentre: "a" },
    { name: "vm-2", dataCentre: "a" },
    { name: "vm-3", dataCentre: "b" },
  ];

  test("the shares of the VMs of a data centre cover its endpoints without overlap", () => {
    const shares = vms.slice(0, 2).map((vm) =>
      computeEndpointShare(rows, vm, vms)
    );
    const ids = shares.flat().map(({ id }) => id).sort();
    assert.deepEqual(ids, ["e1", "e2", "e3", "e4"]);
  });

  test("a VM that knows of no other VMs gets all endpoints of its data centre", () => {
    assert.equal(computeEndpointShare(rows, vms[0], []).length, 4);
  });
});

test("the critical path is the longest chain of dependent steps", () => {
  const steps = [
    createStep(1),
    createStep(1, { after: [0] }),
    createStep(1),
  ];
  assert.equal(predictCriticalPathMs(steps, [10, 30, 20]), 40);
});
