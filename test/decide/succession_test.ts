import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeEndpointShare } from "../../src/decide/compute_endpoint_share.ts";
import { predictCriticalPathMs } from "../../src/decide/predict_critical_path_ms.ts";
import { computeFencingToken } from "../../src/vm/compute_fencing_token.ts";
import { decideTakeover } from "../../src/vm/decide_takeover.ts";
import { createStep } from "../fixtures/create_scheduler_driver.ts";

const SEEN = {
  how: "silent",
  lostForMs: 2_000,
  beatAgeMs: 100,
  rank: 0,
  isDraining: false,
  isVacant: false,
  isNew: false,
} as const;

describe("succession", () => {
  test("a lost link alone does not make a VM take over", () => {
    assert.equal(decideTakeover(SEEN), "wait");
  });

  test("a beat that has stopped does, within a second", () => {
    assert.equal(decideTakeover({ ...SEEN, beatAgeMs: 1_000 }), "takeOver");
  });

  test("a scheduler that has just begun may be slow with its beats, unless its address refuses", () => {
    const seen = { ...SEEN, isNew: true, beatAgeMs: 700 };
    assert.equal(decideTakeover(seen), "wait");
    assert.equal(decideTakeover({ ...seen, beatAgeMs: 1_000 }), "takeOver");
    assert.equal(decideTakeover({ ...seen, how: "closed" }), "takeOver");
  });

  test("VMs further down the order wait longer", () => {
    const seen = { ...SEEN, beatAgeMs: 500 };
    assert.equal(decideTakeover({ ...seen, rank: 0 }), "takeOver");
    assert.equal(decideTakeover({ ...seen, rank: 3 }), "wait");
    assert.equal(decideTakeover({ ...seen, isDraining: true }), "wait");
  });

  test("where there has never been a scheduler a weak VM lets others go first", () => {
    const seen = { ...SEEN, isVacant: true, beatAgeMs: undefined };
    const after = (lostForMs: number, rank: number) =>
      decideTakeover({ ...seen, lostForMs, rank });
    assert.equal(after(1, 0), "takeOver");
    assert.equal(after(300, 8), "wait");
    assert.equal(after(1_000, 8), "takeOver");
  });

  test("tokens of VMs that serve alone lie between two epochs", () => {
    assert.ok(computeFencingToken(3, 0) < computeFencingToken(3, 1));
    assert.ok(computeFencingToken(3, 200) < computeFencingToken(4, 0));
  });
});

describe("the endpoints of a VM that serves alone", () => {
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

  test("neighbours' shares do not overlap and cover the data centre", () => {
    const shares = vms.slice(0, 2).map((vm) =>
      computeEndpointShare(rows, vm, vms)
    );
    const ids = shares.flat().map(({ id }) => id).sort();
    assert.deepEqual(ids, ["e1", "e2", "e3", "e4"]);
  });

  test("a VM that knows no neighbours has its whole data centre", () => {
    assert.equal(computeEndpointShare(rows, vms[0], []).length, 4);
  });
});

test("the longest chain of steps goes through the steps they wait for", () => {
  const steps = [
    createStep(1, { estimateMs: 10 }),
    createStep(1, { estimateMs: 30, after: [0] }),
    createStep(1, { estimateMs: 20 }),
  ];
  assert.equal(predictCriticalPathMs(steps, (step) => step.estimateMs), 40);
});
