import { endAttempt } from "../../src/decide/route/end_attempt.ts";
import { dispatchTasks } from "../../src/decide/route/dispatch_tasks.ts";
import { enqueueTask } from "../../src/decide/route/enqueue_task.ts";
import { findOrCreateClientShare } from "../../src/decide/route/find_or_create_client_share.ts";
import { createTestJob } from "../../test/fixtures/create_test_job.ts";
import { createTestScheduler } from "../../test/fixtures/create_test_scheduler.ts";
import { createSlope } from "./create_slope.ts";
import type { Slope } from "./slope.ts";

/** Number of waiting tasks of each client. */
const TASKS_PER_CLIENT = 100;
/** Number of task starts that each figure is the mean of. */
const STARTS = 40_000;
const US_PER_MS = 1_000;

/** Measures the time to decide on one task start, by the number of endpoints and by the number of clients with waiting tasks. */
export function measureDispatchSlopes(): Slope[] {
  const byEndpoints = [30, 60, 120].map((size) => ({
    size,
    values: { usPerStart: measure({ endpoints: size, clients: 20 }) },
  }));
  const byClients = [20, 100, 200].map((size) => ({
    size,
    values: { usPerStart: measure({ endpoints: 30, clients: size }) },
  }));
  return [
    createSlope("decision of a start", "endpoints of a shard", byEndpoints),
    createSlope("decision of a start", "clients waiting", byClients),
  ];
}

function measure(sizes: { endpoints: number; clients: number }): number {
  const scheduler = createTestScheduler({ endpoints: sizes.endpoints });
  for (let client = 0; client < sizes.clients; client += 1) {
    enqueueJob(scheduler, `client-${client}`);
  }
  let running = dispatchTasks(scheduler, 0);
  const startedAtMs = performance.now();
  for (let start = 0; start < STARTS; start += 1) {
    const ended = running.shift();
    if (!ended) break;
    const { job, index, endpointId } = ended;
    job.tasks[index].phase = "waiting";
    const outcome = { type: "done" as const, result: "null" };
    endAttempt(scheduler, { job, index, endpointId }, {
      outcome,
      tookMs: 100,
      nowMs: start,
    });
    enqueueTask(scheduler, { job, index });
    running = running.concat(dispatchTasks(scheduler, start));
  }
  return (performance.now() - startedAtMs) * US_PER_MS / STARTS;
}

function enqueueJob(
  scheduler: ReturnType<typeof createTestScheduler>,
  client: string,
): void {
  const job = createTestJob({ client, tasks: TASKS_PER_CLIENT });
  findOrCreateClientShare(scheduler, client, 1).queued += TASKS_PER_CLIENT;
  job.tasks.forEach((_, index) => enqueueTask(scheduler, { job, index }));
}
