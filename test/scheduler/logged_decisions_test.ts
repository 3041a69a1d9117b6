import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { EventName } from "../../src/log/event_name.ts";
import { LOG_EVENTS } from "../../src/log/log_events.ts";
import { setEndpointTakenOver } from "../../src/scheduler/set_endpoint_taken_over.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { reclaimEndpoints } from "../../src/scheduler/reclaim_endpoints.ts";
import { createSchedulerDriver } from "../fixtures/create_scheduler_driver.ts";
import type { Start } from "../fixtures/create_scheduler_driver.ts";
import { SCHEDULER_LIMITS } from "../fixtures/scheduler_limits.ts";

type Driver = ReturnType<typeof createSchedulerDriver>;

/** Fields that are not in every line of their event. */
const OPTIONAL_FIELDS = [
  "reason",
  "isKept",
  "vm",
  "strikes",
  "restMs",
  "isOver",
];

/** Actions that lead to the log line of each event, after one task of job `j` was started on `e1`. */
const DECISIONS: { [Event in EventName]?: (driver: Driver) => void } = {
  jobAccepted: () => {},
  taskPlaced: () => {},
  jobRejoined: (driver) => driver.submit({ id: "j" }),
  runAdopted: (driver) => {
    driver.list("e1", {
      running: [{ task: "k.0.0.0", run: 90_001, progress: 0 }],
    });
    driver.submit({ id: "k" }, {
      isResubmitted: true,
      wasSolo: true,
      done: [],
      placed: [],
    });
  },
  secondRunListed: (driver) => {
    driver.addEndpoint("e2");
    driver.list("e2", {
      running: [{ task: "j.0.0.0", run: 90_001, progress: 0 }],
    });
  },
  endpointAdded: () => {},
  endpointListed: () => {},
  startUnanswered: (driver) =>
    driver.reply(driver.starts[0], { type: "unanswered" }),
  taskEnded: (driver) => driver.end(driver.starts[0], "done", 1),
  attemptFailed: (driver) => driver.end(driver.starts[0], "failed", 1),
  taskRequeued: (driver) => driver.end(driver.starts[0], "failed", 1),
  jobEnded: (driver) => driver.end(driver.starts[0], "done", 1),
  taskMoved: (driver) => stallRun(driver),
  endpointSlow: (driver) => stallRun(driver),
  jobOrphaned: (driver) => {
    dropVm(driver.state, "vm-1", { how: "closed", nowMs: 0 });
    driver.collect();
  },
  endpointListFull: (driver) => {
    const ended = Array.from(
      { length: SCHEDULER_LIMITS.maxListedEnds },
      (_, index) => ({
        number: index + 1,
        task: `k.0.0.${index}`,
        run: 8,
        how: "stopped" as const,
      }),
    );
    driver.list("e1", { ended });
  },
  endpointDraining: (driver) => driver.updateRow("e1", { isDraining: true }),
  endpointGone: (driver) => {
    driver.addIdleEndpoint("e2");
    driver.dropRow("e2");
  },
  runLost: (driver) => driver.setUnresponsive("e1"),
  taskGivenUp: (driver) => {
    for (const id of ["e1", "e2"]) {
      if (id === "e2") driver.addIdleEndpoint(id);
      driver.reply(driver.starts.at(-1) as Start, { type: "accepted" });
      driver.setUnresponsive(id, "broken");
      driver.advanceTo(id === "e1" ? 1_300 : 2_700);
    }
    for (const id of ["e1", "e2"]) driver.dropRow(id);
    driver.advanceTo(6_000);
  },
  startsInDoubt: (driver) => {
    driver.addEndpoint("e2");
    driver.submitStored({ id: "k" }, { mayHaveRun: true });
    driver.advanceTo(2_000);
  },
  lossSettled: (driver) => {
    driver.setUnresponsive("e1");
    driver.list("e1");
  },
  endpointSilent: (driver) => driver.setUnresponsive("e1"),
  endpointLapsed: (driver) => {
    driver.setUnresponsive("e1");
    driver.advanceTo(1_300);
  },
  endpointReborn: (driver) => driver.list("e1", { processStartMs: 2 }),
  endpointRested: (driver) => {
    driver.end(driver.starts[0], "failed", 1);
    driver.end(driver.starts[1], "done", 2);
    for (const [index, id] of ["k", "l"].entries()) {
      driver.submit({ id, maxAttempts: 1 });
      driver.end(driver.starts[2 + index], "failed", 3 + index);
    }
  },
  endpointTaken: (driver) => {
    setEndpointTakenOver(driver.state, "e1");
    driver.collect();
  },
  endpointReclaimed: (driver) => {
    setEndpointTakenOver(driver.state, "e1");
    reclaimEndpoints(driver.state, 200, new Set(["a"]));
    driver.collect();
  },
  leaseNotExtended: (driver) => loseRole(driver),
  leaseEnded: (driver) => {
    loseRole(driver);
    driver.advanceTo(2_800);
  },
  strangerStopped: (driver) => {
    driver.list("e1", {
      running: [{ task: "other.0.0.0", run: 1, progress: 0 }],
    });
    driver.advanceTo(500);
  },
};

/** Lists the run on `e1` with almost no progress after most of its expected run time, while `e2` is free. */
function stallRun(driver: Driver): void {
  driver.reply(driver.starts[0], { type: "accepted" });
  driver.addIdleEndpoint("e2");
  driver.advanceTo(800);
  const [{ task, run }] = driver.starts;
  driver.list("e1", { running: [{ task: task.name, run, progress: 0.02 }] });
  driver.advanceTo(820);
}

/** Starts a stored job and lets the time pass in which this process certainly holds the scheduler role. */
function loseRole(driver: Driver): void {
  driver.addIdleEndpoint("e2");
  driver.submitStored({ id: "k" });
  driver.state.roleExclusiveUntilMs = 100;
  driver.advanceTo(1_200);
}

function decide(event: EventName): Driver {
  const driver = createSchedulerDriver();
  driver.advanceTo(10);
  driver.addIdleEndpoint("e1");
  driver.submit({ id: "j" });
  DECISIONS[event]?.(driver);
  return driver;
}

describe("log lines of the scheduler's decisions", () => {
  for (const event of Object.keys(DECISIONS) as EventName[]) {
    test(`${event} is logged with all its fields`, () => {
      const driver = decide(event);
      const line = driver.events.find((logged) => logged.event === event);
      const names: readonly string[] = LOG_EVENTS[event];
      const fields = (line?.fields ?? {}) as Record<string, unknown>;

      assert.ok(line, `logged only ${driver.events.map((one) => one.event)}`);
      const missing = names.filter((name) =>
        fields[name] === undefined && !OPTIONAL_FIELDS.includes(name)
      );
      assert.deepEqual(missing, []);
      const badNumbers = Object.entries(fields)
        .filter(([, value]) => Number.isNaN(value));
      assert.deepEqual(badNumbers, []);
    });
  }
});
