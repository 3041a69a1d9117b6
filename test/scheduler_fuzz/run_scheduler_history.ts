import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import type { JobProgressRow } from "../../src/stored_jobs/job_progress_row.ts";
import { cancelJob } from "../../src/scheduler/cancel_job.ts";
import { computeEndpointShare } from "../../src/decide/compute_endpoint_share.ts";
import type { JobOrder } from "../../src/scheduler/job_order.ts";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import { parseTaskName } from "../../src/scheduler/parse_task_name.ts";
import { acknowledgeSavedEnds } from "../../src/scheduler/acknowledge_saved_ends.ts";
import { submitStoredJob } from "../../src/scheduler/submit_stored_job.ts";
import { reclaimEndpoints } from "../../src/scheduler/reclaim_endpoints.ts";
import { BinaryHeap } from "../../src/utils/binary_heap.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import {
  createOrder,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import type { Fault } from "./fault.ts";
import { FuzzEndpoint } from "./fuzz_endpoint.ts";
import { FuzzHost } from "./fuzz_host.ts";
import type { FuzzWorld, Way } from "./fuzz_host.ts";
import { FuzzVms } from "./fuzz_vms.ts";
import { Oracle } from "./oracle.ts";

const ENDPOINTS = 4;
/** The same where VMs serve alone: each has two then. */
const LINK_ENDPOINTS = 6;
const JOBS = 24;
const ATTEMPTS = 3;
/** Jobs arrive, and troubles begin, until then, in ms. */
const BUSY_MS = 10_000;
/** Everything must have ended by then, in ms: long after the last trouble. */
const END_MS = 45_000;
const WAY_MS = 1.5;
const STORE_MS = 5;
const SAVE_MS = 20;
const OVERLAP_MS = 3_000;
/** From the loss of a scheduler until the next begins, and until the lost one knows, in ms. */
const TAKEOVER_MS = 500;
const FORGET_VM_MS = 600;
const RESTART_MS = 1_000;
/** Time between two raises of the epoch, in ms. */
const RAISE_MS = 700;
const DATA_CENTRE = "a";
/** Where VMs serve alone, runs last as much longer, so that they outlast a VM's way there and back. */
const LONG_FACTOR = 4;
/** The same where VMs go back to a scheduler that was replaced: they outlast the waits for another decider's runs. */
const LONGER_FACTOR = 12;

type StoredJob = {
  order: JobOrder;
  progress?: JobProgressRow;
  isCancelled: boolean;
  end?: JobOutcome;
};

/** Plays jobs under troubles against the scheduler's decisions in virtual time; returns what was broken. */
export function runSchedulerHistory(
  faults: Fault[],
  seed: number,
): { violations: string[]; ended: Record<string, number> } {
  const random = createRandom(seed);
  const hasLinkFaults = faults.some(({ kind }) => kind.startsWith("link"));
  const hasReturns = faults.some(({ kind }) => kind === "linkFormer");
  const events = new BinaryHeap<() => void>();
  const stored = new Map<string, StoredJob>();
  const outcomes = new Map<string, JobOutcome>();
  const active = new Set<Fault>();
  const oracle = new Oracle({
    isKept: (task) => stored.has(parseTaskName(task)?.jobId ?? ""),
    mostAttempts: ATTEMPTS,
  });
  const endpoints = Array.from(
    { length: hasLinkFaults ? LINK_ENDPOINTS : ENDPOINTS },
    (_, index) =>
      new FuzzEndpoint(`e${index}`, { oracle, rate: 1 - 0.006 * (index % 4) }),
  );
  let nowMs = 0;
  let epoch = 0;
  let raisedMs = 0;
  let current: FuzzHost | undefined;
  /** The one that was replaced last. */
  let former: FuzzHost | undefined;

  function later(afterMs: number, run: () => void): void {
    const atMs = nowMs + afterMs;
    events.push(() => {
      nowMs = atMs;
      run();
    }, atMs);
  }

  function isFaulty(kind: Fault["kind"], endpoint: FuzzEndpoint): boolean {
    return [...active].some((fault) =>
      fault.kind === kind && endpoints[fault.endpoint] === endpoint
    );
  }

  function findWay(host: FuzzHost, endpoint: FuzzEndpoint): Way {
    const isCut = [...active].some((fault) =>
      fault.kind === "cut" && endpoints[fault.endpoint] === endpoint &&
      cutHosts.get(fault) === host
    );
    const isApart = [...active].some((fault) =>
      fault.kind === "zoneCut" && cutHosts.has(fault) &&
      (cutHosts.get(fault) === host) !==
        (endpoints[fault.endpoint] === endpoint)
    );
    if (isApart) return {};
    if (isCut || isFaulty("rebirth", endpoint)) return {};
    const thereMs = WAY_MS + random();
    if (isFaulty("late", endpoint)) {
      return { thereMs: thereMs + random() * 3_000 };
    }
    if (isFaulty("mute", endpoint)) return { thereMs };
    return { thereMs, backMs: WAY_MS + random() };
  }

  const cutHosts = new Map<Fault, FuzzHost | undefined>();

  function checkOutcome(id: string, outcome: JobOutcome): void {
    if (outcome.type === "refused" && oracle.hasStarted(id)) {
      oracle.violations.push(`${nowMs}: ${id} refused though it had begun`);
    }
  }

  /** Takes back what VMs have used while they served alone, once all are linked. */
  function raiseEpoch(host: FuzzHost): void {
    const isAnyTaken = [...host.state.endpoints.values()]
      .some(({ phase }) => phase === "taken");
    const isDue = nowMs - raisedMs > RAISE_MS;
    if (!isAnyTaken || !isDue || !vms.hasAll(host)) return;
    raisedMs = nowMs;
    epoch += 1;
    reclaimEndpoints(host.state, epoch * 100, new Set([DATA_CENTRE]));
  }

  const linkFactor = hasReturns ? LONGER_FACTOR : LONG_FACTOR;
  const factor = hasLinkFaults ? linkFactor : 1;
  const world: FuzzWorld = {
    endpoints,
    readNow: () => nowMs,
    later,
    findWay,
    told: (host, effect) => vms.told(host, effect),
    hasRole: (host) => host === current,
    beat: raiseEpoch,
    readWorkMs: () => factor * (30 + random() * 400),
    listRows: () =>
      endpoints.filter((endpoint) => !isFaulty("unlisted", endpoint))
        .map(({ id }) => ({
          id,
          address: "fuzz",
          service: "layout",
          dataCentre: DATA_CENTRE,
          labels: [],
          room: { cpu: 16_000, memoryMb: 64_000, gpus: 0 },
          isDraining: false,
        })),
  };

  const vms = new FuzzVms({
    later,
    findCurrent: () => current,
    findFormer: () => former?.isAlive ? former : undefined,
    readEpoch: () => epoch,
    beginSolo: ({ name, among, token, hasKeptJobs }) => {
      const all = among.map((one) => ({ name: one, dataCentre: DATA_CENTRE }));
      const vm = { name, dataCentre: DATA_CENTRE };
      const listShare = () => computeEndpointShare(world.listRows(), vm, all);
      return new FuzzHost(world, token, { listShare, hasKeptJobs });
    },
    answered: (id, outcome) => {
      outcomes.set(id, outcome);
      checkOutcome(id, outcome);
    },
  });

  function beginHost(): void {
    epoch += 1;
    const host = new FuzzHost(world, epoch * 100);
    current = host;
    vms.follow(host);
    later(STORE_MS + random() * 200, () => readStored(host));
    later(SAVE_MS, () => save(host));
  }

  function readStored(host: FuzzHost): void {
    if (host !== current) return;
    for (const job of stored.values()) {
      if (!job.end) takeStored(host, { job, mayHaveRun: true });
    }
    host.state.areStoredJobsRead = true;
  }

  function takeStored(
    host: FuzzHost,
    found: { job: StoredJob; mayHaveRun: boolean },
  ): void {
    const { job, mayHaveRun } = found;
    const { order, progress } = job;
    host.act((atMs) => {
      submitStoredJob(host.state, order, {
        nowMs: atMs,
        mayHaveRun,
        progress: progress && decodeProgress(progress, order),
      });
      if (job.isCancelled) cancelJob(host.state, order.id, atMs);
    });
  }

  /** The store takes a write only from the holder of the role. */
  function save(host: FuzzHost): void {
    if (!host.isAlive) return;
    const { state } = host;
    const jobs = state.areStoredJobsRead ? [...state.unsaved] : [];
    for (const job of jobs) state.unsaved.delete(job);
    const saves = jobs.map((job) => {
      const marks = job.unsavedEnds;
      job.unsavedEnds = [];
      return {
        job,
        marks,
        end: job.outcome,
        progress: encodeProgress(job),
      };
    });
    later(STORE_MS, () => {
      if (!host.isAlive) return;
      // A host that was replaced no longer reaches the store.
      if (host !== current) {
        for (const { job, marks } of saves) {
          state.unsaved.add(job);
          job.unsavedEnds.push(...marks);
        }
        saves.length = 0;
      }
      for (const { job, marks, end, progress } of saves) {
        const row = stored.get(job.order.id) as StoredJob;
        row.progress = progress;
        row.end ??= end;
        acknowledgeSavedEnds(state, marks);
      }
      later(SAVE_MS, () => save(host));
    });
  }

  function loseHost(host: FuzzHost, forMs: number): void {
    // Its links are cut; it goes on with what it has until it notices.
    current = undefined;
    former = host;
    vms.dropLinks(host);
    later(FORGET_VM_MS, () => vms.forget(host));
    later(forMs, () => {
      host.isAlive = false;
      vms.dropLinks(host);
    });
    later(TAKEOVER_MS, () => {
      if (!current) beginHost();
    });
  }

  function losePower(host: FuzzHost): void {
    host.isAlive = false;
    current = undefined;
    if (former) former.isAlive = false;
    vms.losePower();
    later(RESTART_MS, () => {
      if (!current) beginHost();
    });
  }

  function cancelNewest(): void {
    const job = [...stored.values()].filter(({ end }) => !end).at(-1);
    if (!job) return;
    job.isCancelled = true;
    later(STORE_MS, () => {
      current?.act((atMs) =>
        cancelJob((current as FuzzHost).state, job.order.id, atMs)
      );
    });
  }

  function beginFault(fault: Fault): void {
    const endpoint = endpoints[fault.endpoint];
    if (fault.kind === "takeover") {
      if (current) loseHost(current, fault.forMs);
      return;
    }
    if (fault.kind === "powerLoss") {
      if (current) losePower(current);
      return;
    }
    if (fault.kind === "cancel") return cancelNewest();
    if (fault.kind === "linkClosed" || fault.kind === "linkSilent") {
      const isSilent = fault.kind === "linkSilent";
      vms.cut(fault.endpoint, { isSilent, forMs: fault.forMs });
      return;
    }
    if (fault.kind === "linkFormer") {
      vms.goBack(fault.endpoint, fault.forMs);
      return;
    }
    if (fault.kind === "rebirth") endpoint.beginAnew(nowMs);
    if (fault.kind === "zoneCut") {
      if (!current) return;
      cutHosts.set(fault, current);
      loseHost(current, fault.forMs);
    }
    if (fault.kind === "cut") cutHosts.set(fault, current);
    if (fault.kind === "failing") endpoint.isFailing = true;
    if (fault.kind === "hang") endpoint.isHanging = true;
    active.add(fault);
    later(fault.forMs, () => {
      active.delete(fault);
      endpoint.isFailing = isFaulty("failing", endpoint);
      endpoint.isHanging = isFaulty("hang", endpoint);
    });
  }

  function submit(index: number): void {
    const id = `job${index}`;
    const steps = index % 3 === 0
      ? [createStep(2, { estimateMs: 200 }), createStep(1, { after: [0] })]
      : [createStep(1 + index % 4, { estimateMs: 200 })];
    const order = createOrder({ id, steps, maxAttempts: ATTEMPTS, stretch: 8 });
    if (index % 2 === 0) {
      vms.submit(order, index / 2);
      return;
    }
    const job = { order: { ...order, isKept: true }, isCancelled: false };
    stored.set(id, job);
    later(STORE_MS, () => {
      if (!current) return;
      const mayHaveRun = nowMs - current.state.startedMs < OVERLAP_MS;
      takeStored(current, { job, mayHaveRun });
    });
  }

  function advanceEndpoints(): void {
    for (const endpoint of endpoints) endpoint.advance(nowMs);
    later(5, advanceEndpoints);
  }

  beginHost();
  advanceEndpoints();
  for (let index = 0; index < JOBS; index += 1) {
    later(500 + random() * BUSY_MS, () => submit(index));
  }
  for (const fault of faults) later(fault.atMs, () => beginFault(fault));
  while (nowMs < END_MS) events.pop()?.();

  const ended: Record<string, number> = {};
  for (const { type } of outcomes.values()) {
    ended[type] = (ended[type] ?? 0) + 1;
  }
  const violations = oracle.review();
  for (const id of vms.open.keys()) violations.push(`${id} was never answered`);
  for (const { order, end, isCancelled } of stored.values()) {
    const how = end?.type ?? "none";
    ended[`stored ${how}`] = (ended[`stored ${how}`] ?? 0) + 1;
    if (!end) violations.push(`${order.id} was stored and never ended`);
    if (end?.type === "refused") violations.push(`${order.id} was refused`);
    const isFailed = end?.type === "failed" && !isCancelled;
    if (isFailed && end.reason !== "attemptsUsed") {
      violations.push(`${order.id} failed: ${end.reason}`);
    }
    if (end?.type === "completed") {
      violations.push(...findUndone(order, oracle));
    }
  }
  return { violations, ended };
}

function findUndone(order: JobOrder, oracle: Oracle): string[] {
  return order.steps.flatMap(({ count }, step) =>
    Array.from(
      { length: count },
      (_, index) => `${order.id}.0.${step}.${index}`,
    )
  )
    .filter((task) => !oracle.hasEnded(task, "done"))
    .map((task) => `${task} was not done though its job is shown as completed`);
}
