import { test } from "node:test";
import assert from "node:assert/strict";
import * as fc from "fast-check";
import {
  createCrashFaultArbitrary,
  createEarlierSchedulerFaultArbitrary,
  createEstimateFaultArbitrary,
  createEvacuationFaultArbitrary,
  createFaultArbitrary,
  createLinkFaultArbitrary,
  createLongOutageFaultArbitrary,
  createManyRunsFaultArbitrary,
  createOverlappingCutFaultArbitrary,
  createRejectionFaultArbitrary,
  createRepeatedLossFaultArbitrary,
  createResetFaultArbitrary,
  createStoreFaultArbitrary,
} from "./create_fault_arbitrary.ts";
import { runSchedulerHistory } from "./run_scheduler_history.ts";

const SEED = 7;
const HISTORIES = 40;
const LINK_HISTORIES = 25;
const EARLIER_SCHEDULER_HISTORIES = 15;
const STORE_HISTORIES = 40;
const CRASH_HISTORIES = 40;
const CUT_HISTORIES = 40;
const LOSS_HISTORIES = 25;
const OUTAGE_HISTORIES = 25;
const EVACUATION_HISTORIES = 25;
const ESTIMATE_HISTORIES = 25;
const RESET_HISTORIES = 25;
const REJECTION_HISTORIES = 25;
const MANY_RUNS_HISTORIES = 25;

test("no history of jobs and faults violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(createFaultArbitrary(), fc.nat(1_000_000), (faults, seed) => {
      assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
    }),
    { seed: SEED, numRuns: HISTORIES },
  );
});

test("no history in which VMs lose their links and enter solo mode violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createLinkFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: LINK_HISTORIES },
  );
});

test("no history in which VMs link to an earlier scheduler again violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createEarlierSchedulerFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: EARLIER_SCHEDULER_HISTORIES },
  );
});

test("no history in which the store is down while runs end and schedulers are replaced violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createStoreFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: STORE_HISTORIES },
  );
});

test("no history in which endpoints are cut off one after the other violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createOverlappingCutFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: CUT_HISTORIES },
  );
});

test("no history in which all schedulers end again and again violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createRepeatedLossFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: LOSS_HISTORIES },
  );
});

test("no history in which the store is away for longer than ended jobs are kept violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createLongOutageFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: OUTAGE_HISTORIES },
  );
});

test("no history in which data centres are evacuated violates a guarantee of the scheduler, and none sends a start there that could know", () => {
  fc.assert(
    fc.property(
      createEvacuationFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: EVACUATION_HISTORIES },
  );
});

test("no history in which endpoints are cut off with resets violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createResetFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: RESET_HISTORIES },
  );
});

// Jobs whose starts had only been sent, and were then rejected, counted as begun.
test("no history in which endpoints reject starts violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createRejectionFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: REJECTION_HISTORIES },
  );
});

// The many tasks of one crashed endpoint started again one by one.
test("no history in which endpoints crash that run many small tasks violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createManyRunsFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: MANY_RUNS_HISTORIES },
  );
});

test("no history in which jobs have no estimates, or wrong ones, violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createEstimateFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: ESTIMATE_HISTORIES },
  );
});

test("no history in which tasks crash the endpoints that start them violates a guarantee of the scheduler", () => {
  fc.assert(
    fc.property(
      createCrashFaultArbitrary(),
      fc.nat(1_000_000),
      (faults, seed) => {
        assert.deepEqual(runSchedulerHistory(faults, seed).violations, []);
      },
    ),
    { seed: SEED, numRuns: CRASH_HISTORIES },
  );
});

test("a job does not fail for a crash of an endpoint that may have happened before its task began", () => {
  const faults = [
    { atMs: 4_787, forMs: 4_616, endpoint: 0, kind: "tasksCrash" } as const,
    { atMs: 0, forMs: 100, endpoint: 0, kind: "tasksCrash" } as const,
    { atMs: 6_113, forMs: 100, endpoint: 0, kind: "takeover" } as const,
    { atMs: 9_810, forMs: 100, endpoint: 0, kind: "takeover" } as const,
    { atMs: 8_723, forMs: 646, endpoint: 2, kind: "dataCentreCut" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 48_843).violations, []);
});

test("a job does not count a task as done twice when a start of it is not answered after its end was listed", () => {
  const cuts = [
    [500, 900, 0],
    [1_400, 300, 1],
    [1_537, 900, 1],
    [
      2_437,
      300,
      2,
    ],
    [4_806, 1_553, 2],
    [6_260, 300, 0],
  ].map(([atMs, forMs, endpoint]) => ({
    atMs,
    forMs,
    endpoint,
    kind: "cut" as const,
  }));
  const slow = {
    atMs: 0,
    forMs: 20_000,
    endpoint: 0,
    kind: "ordersSlow",
  } as const;

  assert.deepEqual(
    runSchedulerHistory([slow, ...cuts], 716_639).violations,
    [],
  );
});

test("a task whose end is hidden by a full listing while the store is down is not started again", () => {
  const faults = [
    { atMs: 2_214, forMs: 506, endpoint: 0, kind: "storeDown" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 8).violations, []);
});

test("a task that has failed as often as allowed, while the store was down and its scheduler was replaced, is not started again", () => {
  const window = { atMs: 2_071, forMs: 424 };
  const faults = [
    { ...window, endpoint: 0, kind: "storeDown" } as const,
    ...[0, 1, 2, 3].map((endpoint) => ({
      ...window,
      endpoint,
      kind: "runsFail" as const,
    })),
    { atMs: 2_315, forMs: 500, endpoint: 0, kind: "takeover" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 78_011).violations, []);
});

test("a job resubmitted to an earlier scheduler and back to the later one runs at only one of them at a time", () => {
  const faults = [
    { atMs: 1_355, forMs: 3_000, endpoint: 2, kind: "dataCentreCut" } as const,
    { atMs: 1_951, forMs: 1_390, endpoint: 0, kind: "linkToEarlier" } as const,
    { atMs: 1_905, forMs: 100, endpoint: 1, kind: "linkToEarlier" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 400_987).violations, []);
});

test("a start order that arrives after a restart of its endpoint process runs no task twice", () => {
  const faults = [
    { atMs: 5_979, forMs: 100, endpoint: 3, kind: "processRestart" } as const,
    { atMs: 2_595, forMs: 100, endpoint: 0, kind: "takeover" } as const,
    { atMs: 0, forMs: 100, endpoint: 0, kind: "cut" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 401_946).violations, []);
});

test("a task that a cut-off scheduler has moved to another endpoint does not run at two endpoints", () => {
  const faults = [
    { atMs: 3_280, forMs: 500, endpoint: 0, kind: "dataCentreCut" } as const,
    { atMs: 3_281, forMs: 100, endpoint: 0, kind: "powerLoss" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 412_228).violations, []);
});

test("a task that a solo VM moved is not started again beside its run when the scheduler reclaims the endpoints", () => {
  const faults = [
    { atMs: 1_500, forMs: 1_000, endpoint: 4, kind: "linkClosed" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 286_073).violations, []);
});

test("a task is not started again while an endpoint lists a run of it that a solo VM started", () => {
  const faults = [
    {
      atMs: 4_000,
      forMs: 1_297,
      endpoint: 2,
      kind: "linkUnresponsive",
    } as const,
    { atMs: 1_500, forMs: 700, endpoint: 2, kind: "linkClosed" } as const,
    { atMs: 700, forMs: 100, endpoint: 2, kind: "takeover" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 780_983).violations, []);
});

test("a run that a solo VM started does not count as ended, after its endpoint is reclaimed, because an earlier run of its task was stopped", () => {
  const faults = [
    {
      atMs: 2_331,
      forMs: 1_900,
      endpoint: 1,
      kind: "linkUnresponsive",
    } as const,
    { atMs: 4_400, forMs: 1_600, endpoint: 2, kind: "linkClosed" } as const,
  ];

  assert.deepEqual(runSchedulerHistory(faults, 113_748).violations, []);
});
