import { decodeProgress } from "../../src/stored_jobs/decode_progress.ts";
import { encodeProgress } from "../../src/stored_jobs/encode_progress.ts";
import type { JobProgressRow } from "../../src/stored_jobs/job_progress_row.ts";
import { cancelJob } from "../../src/scheduler/cancel_job.ts";
import { computeEndpointShare } from "../../src/decide/compute_endpoint_share.ts";
import type { JobOrder } from "../../src/scheduler/job_order.ts";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import { parseTaskName } from "../../src/scheduler/parse_task_name.ts";
import { confirmJobStored } from "../../src/scheduler/confirm_job_stored.ts";
import { submitStoredJob } from "../../src/scheduler/submit_stored_job.ts";
import { reclaimEndpoints } from "../../src/scheduler/reclaim_endpoints.ts";
import { BinaryHeap } from "../../src/utils/binary_heap.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import {
  createOrder,
  createStep,
} from "../fixtures/create_scheduler_driver.ts";
import { findMissedPending } from "./find_missed_pending.ts";
import { findWrongCounts } from "./find_wrong_counts.ts";
import { FuzzEvacuations } from "./fuzz_evacuations.ts";
import type { Fault } from "./fault.ts";
import { FuzzEndpoint } from "./fuzz_endpoint.ts";
import { FuzzHost } from "./fuzz_host.ts";
import type { CallDelays, FuzzWorld } from "./fuzz_host.ts";
import { FuzzVms } from "./fuzz_vms.ts";
import { Oracle } from "./oracle.ts";

const ENDPOINT_COUNT = 4;
/** Number of endpoints in histories with solo VMs: each VM has two in solo mode. */
const LINK_ENDPOINT_COUNT = 6;
const JOB_COUNT = 24;
/** Most run ends that an endpoint lists at a time, and its part in histories in which the store is down. */
const MAX_LISTED_ENDS = 500;
const MAX_LISTED_ENDS_WITHOUT_STORE = 4;
/** Factor of the number of tasks in histories in which the store is down, so that more runs end than are listed. */
const STORE_TASK_FACTOR = 3;
/** Pause before a call that the store refused is repeated. */
const STORE_RETRY_MS = 100;
const MAX_ATTEMPTS = 3;
/** Jobs are submitted until about this time. */
const ACTIVE_PHASE_MS = 10_000;
/** Length of a history; leaves all jobs time to end after the last fault. */
const HISTORY_MS = 45_000;
/** Shortest network delay of a request or an answer; up to 1 ms is added. */
const MIN_ONE_WAY_DELAY_MS = 1.5;
const STORE_CALL_MS = 5;
/** Time after which a call that the store does not answer fails. */
const STORE_TIMEOUT_MS = 1_500;
/** Time from the start of a task that crashes its endpoint to the crash, and from there to the next process. */
const CRASH_DELAY_MS = 10;
const CRASH_DOWNTIME_MS = 3_000;
/** Longest time from a crash to the end of the scheduler, where crashes end it: about that in which the scheduler finds and saves the loss, or starts the task again. */
const SCHEDULER_END_DELAY_MS = 1_500;
/** Pause between two writes of stored jobs' progress. */
const SAVE_INTERVAL_MS = 20;
/** Time after a scheduler's start in which an earlier one may have started runs of a newly stored job. */
const MAY_HAVE_RUN_MS = 3_000;
/** Time from the loss of a scheduler until another begins. */
const TAKEOVER_DELAY_MS = 500;
/** Time from the loss of its links until a scheduler regards its VMs as lost. */
const VM_TIMEOUT_MS = 600;
/** Time from a power loss until a scheduler begins. */
const RESTART_DELAY_MS = 1_000;
/** Shortest time between two new epochs that reclaim endpoints. */
const EPOCH_RAISE_INTERVAL_MS = 700;
const DATA_CENTRE = "a";
/** Data centre of every other endpoint in histories with evacuations. */
const OTHER_DATA_CENTRE = "b";
/** Factor of run times in histories with solo VMs: runs outlast a VM's change to solo mode and back. */
const LINK_RUN_FACTOR = 4;
/** Factor of run times in histories with links to earlier schedulers: runs outlast the waits for runs that another scheduler started. */
const EARLIER_LINK_RUN_FACTOR = 12;

/** Estimates of run times, in ms, of jobs in the order in which they are submitted while estimates are off; 0: none. */
const WRONG_ESTIMATES_MS = [0, 0, 1, 0, 20_000];
/** CPU that each task needs, in millicores, and the same where tasks are small. */
const TASK_CPU = 6_800;
const SMALL_TASK_CPU = 400;
/** Factors of the number of tasks, and of run times, where tasks are small. */
const SMALL_TASK_FACTOR = 10;
const SMALL_TASK_RUN_FACTOR = 4;
/** Factor of run times while runs are long. */
const LONG_RUN_FACTOR = 12;

type StoredJob = {
  order: JobOrder;
  acceptedMs: number;
  progress?: JobProgressRow;
  isCancelled: boolean;
  end?: JobOutcome;
};

/** Runs jobs and faults against the scheduler's state machine in virtual time. Returns the violations and how many jobs ended in which way. */
export function runSchedulerHistory(
  faults: Fault[],
  seed: number,
): { violations: string[]; ended: Record<string, number> } {
  const random = createRandom(seed);
  const hasLinkFaults = faults.some(({ kind }) => kind.startsWith("link"));
  const hasSilences = faults.some(({ kind }) => kind === "storeSilent");
  const hasOutages = !hasSilences &&
    faults.some(({ kind }) => kind === "storeDown");
  const maxListedEnds = hasOutages
    ? MAX_LISTED_ENDS_WITHOUT_STORE
    : MAX_LISTED_ENDS;
  /** Whether the age of a job matters to the scheduler, which compares it with that of the endpoints' processes. */
  const hasAges = faults.some(({ kind }) =>
    kind === "tasksCrash" || kind === "runsLong"
  );
  const hasWrongEstimates = faults.some(({ kind }) => kind === "estimatesOff");
  const hasSmallTasks = faults.some(({ kind }) => kind === "tasksSmall");
  const taskCpu = hasSmallTasks ? SMALL_TASK_CPU : TASK_CPU;
  const hasEvacuations = faults.some(({ kind }) => kind === "evacuated");
  const evacuations = new FuzzEvacuations();
  /** When the store took calls again after its last outage. */
  let storeSinceMs = 0;
  const hasEarlierLinks = faults.some(({ kind }) => kind === "linkToEarlier");
  const events = new BinaryHeap<() => void>();
  const stored = new Map<string, StoredJob>();
  /** Orders of the best-effort jobs, by id. */
  const unstoredOrders = new Map<string, JobOrder>();
  const outcomes = new Map<string, JobOutcome>();
  const activeFaults = new Set<Fault>();
  /** Tasks that crash each endpoint that starts them. */
  const crashingTasks = new Set<string>();
  const oracle = new Oracle({
    isKept: (task) => stored.has(parseTaskName(task)?.jobId ?? ""),
    maxAttempts: MAX_ATTEMPTS,
    isCrashing: (task) => crashingTasks.has(task),
  });
  const endpoints = Array.from(
    { length: hasLinkFaults ? LINK_ENDPOINT_COUNT : ENDPOINT_COUNT },
    (_, index) =>
      new FuzzEndpoint(`e${index}`, {
        oracle,
        clockRate: 1 - 0.006 * (index % 4),
        maxListedEnds,
        taskCpu,
        showsProgress: hasWrongEstimates,
        onStart: crashIfDeadly,
      }),
  );
  let nowMs = 0;
  let epoch = 0;
  let lastRaiseMs = 0;
  let hasWrongCounts = false;
  let current: FuzzHost | undefined;
  /** The scheduler that was replaced last. */
  let earlier: FuzzHost | undefined;

  function runAfter(afterMs: number, run: () => void): void {
    const atMs = nowMs + afterMs;
    events.push(() => {
      nowMs = atMs;
      run();
    }, atMs);
  }

  function isFaulty(kind: Fault["kind"], endpoint: FuzzEndpoint): boolean {
    return [...activeFaults].some((fault) =>
      fault.kind === kind && endpoints[fault.endpoint] === endpoint
    );
  }

  /** Ends the endpoint's process shortly after it has started a task that crashes endpoints. */
  function crashIfDeadly(endpoint: FuzzEndpoint, task: string): void {
    if (!crashingTasks.has(task)) return;
    runAfter(CRASH_DELAY_MS, () => {
      if (!endpoint.hasRun(task)) return;
      beginFault({
        atMs: nowMs,
        forMs: CRASH_DOWNTIME_MS,
        endpoint: endpoints.indexOf(endpoint),
        kind: "processRestart",
      });
      const endsScheduler = [...activeFaults]
        .some(({ kind }) => kind === "crashesEndScheduler");
      if (!endsScheduler) return;
      runAfter(random() * SCHEDULER_END_DELAY_MS, () => {
        if (current) losePower(current);
      });
    });
  }

  function areRunsLong(): boolean {
    return [...activeFaults].some(({ kind }) => kind === "runsLong");
  }

  function isStoreSilent(): boolean {
    return [...activeFaults].some(({ kind }) => kind === "storeSilent");
  }

  function isStoreDown(): boolean {
    return [...activeFaults].some(({ kind }) =>
      kind === "storeDown" || kind === "storeSilent"
    );
  }

  /** Calls a function as soon as the store takes calls. */
  function whenStoreIsUp(run: () => void): void {
    if (isStoreDown()) runAfter(STORE_RETRY_MS, () => whenStoreIsUp(run));
    else run();
  }

  function findCallDelays(host: FuzzHost, endpoint: FuzzEndpoint): CallDelays {
    const isCut = [...activeFaults].some((fault) =>
      fault.kind === "cut" && endpoints[fault.endpoint] === endpoint &&
      cutHosts.get(fault) === host
    );
    const isSeparated = [...activeFaults].some((fault) =>
      fault.kind === "dataCentreCut" && cutHosts.has(fault) &&
      (cutHosts.get(fault) === host) !==
        (endpoints[fault.endpoint] === endpoint)
    );
    if (isSeparated) return {};
    if (isCut || world.isRefusing(endpoint)) return {};
    const requestMs = MIN_ONE_WAY_DELAY_MS + random();
    if (isFaulty("late", endpoint)) {
      return { requestMs: requestMs + random() * 3_000 };
    }
    if (isFaulty("answersLost", endpoint)) return { requestMs };
    return { requestMs, replyMs: MIN_ONE_WAY_DELAY_MS + random() };
  }

  const cutHosts = new Map<Fault, FuzzHost | undefined>();

  function checkOutcome(id: string, outcome: JobOutcome): void {
    if (outcome.type === "refused" && oracle.hasStarted(id)) {
      oracle.violations.push(`${nowMs}: ${id} refused after it had begun`);
    }
  }

  /** Reclaims endpoints from solo VMs by a higher epoch, once all VMs are linked. */
  function raiseEpoch(host: FuzzHost): void {
    const isAnyTakenOver = [...host.state.endpoints.values()]
      .some(({ phase }) => phase === "taken");
    const isDue = nowMs - lastRaiseMs > EPOCH_RAISE_INTERVAL_MS;
    if (!isAnyTakenOver || !isDue || !vms.isLinkedToAll(host)) return;
    lastRaiseMs = nowMs;
    epoch += 1;
    reclaimEndpoints(
      host.state,
      epoch * 100,
      new Set([DATA_CENTRE, OTHER_DATA_CENTRE]),
    );
  }

  function findDataCentre(endpoint: FuzzEndpoint): string {
    const isOther = hasEvacuations && endpoints.indexOf(endpoint) % 2 === 1;
    return isOther ? OTHER_DATA_CENTRE : DATA_CENTRE;
  }

  /** Records a violation when a host sends a start to an evacuated data centre although it could know. */
  function recordSend(host: FuzzHost, endpoint: FuzzEndpoint): void {
    const dataCentre = findDataCentre(endpoint);
    const canReach = !isStoreDown() && host.canReachStore();
    const at = {
      dataCentre,
      nowMs,
      storeSinceMs: canReach ? storeSinceMs : Infinity,
    };
    if (!evacuations.isKnowable(host, at)) return;
    oracle.violations.push(`${nowMs}: start sent to evacuated ${dataCentre}`);
  }

  function listEndpointRows() {
    return endpoints.filter((endpoint) => !isFaulty("unlisted", endpoint))
      .map((endpoint) => ({
        id: endpoint.id,
        address: "fuzz",
        service: "layout",
        dataCentre: findDataCentre(endpoint),
        labels: [],
        room: { cpu: 16_000, memoryMb: 64_000, gpus: 0 },
        isDraining: false,
      }));
  }

  const linkRunFactor = hasEarlierLinks
    ? EARLIER_LINK_RUN_FACTOR
    : LINK_RUN_FACTOR;
  const runFactor = (hasLinkFaults ? linkRunFactor : 1) *
    (hasSmallTasks ? SMALL_TASK_RUN_FACTOR : 1);
  const world: FuzzWorld = {
    endpoints,
    maxListedEnds,
    hasEvacuations,
    readEvacuations: (host) =>
      isStoreDown() || !host.canReachStore() ? undefined : evacuations.read(),
    recordSend,
    readNow: () => nowMs,
    runAfter,
    isRefusing: (endpoint) =>
      isFaulty("processRestart", endpoint) ||
      isFaulty("cutWithResets", endpoint),
    hasSlowOrders: () =>
      [...activeFaults].some(({ kind }) => kind === "ordersSlow"),
    findCallDelays,
    receiveEffect: (host, effect) => vms.receiveEffect(host, effect),
    hasRole: (host) => host === current,
    receiveHeartbeat: raiseEpoch,
    readWorkMs: () =>
      runFactor * (areRunsLong() ? LONG_RUN_FACTOR : 1) * (30 + random() * 400),
    listRows: () => isStoreDown() ? undefined : listEndpointRows(),
  };

  const vms = new FuzzVms({
    runAfter,
    findCurrent: () => current,
    findEarlier: () => earlier?.isAlive ? earlier : undefined,
    readEpoch: () => epoch,
    beginSolo: ({ name, vmNames, token, ...known }) => {
      const all = vmNames.map((one) => ({
        name: one,
        dataCentre: DATA_CENTRE,
      }));
      const vm = { name, dataCentre: DATA_CENTRE };
      const listShare = () => computeEndpointShare(listEndpointRows(), vm, all);
      return new FuzzHost(world, token, { listShare, ...known });
    },
    receiveOutcome: (id, outcome) => {
      outcomes.set(id, outcome);
      checkOutcome(id, outcome);
    },
  });

  function beginHost(): void {
    epoch += 1;
    const host = new FuzzHost(world, epoch * 100);
    current = host;
    vms.linkAll(host);
    runAfter(
      STORE_CALL_MS + random() * 200,
      () => whenStoreIsUp(() => readStored(host)),
    );
    runAfter(SAVE_INTERVAL_MS, () => save(host));
  }

  function beginHostIfNone(): void {
    if (!current) beginHost();
  }

  function readStored(host: FuzzHost): void {
    if (host !== current) return;
    for (const job of stored.values()) {
      if (!job.end) submitStored(host, { job, mayHaveRun: true });
    }
    host.state.areStoredJobsRead = true;
  }

  /** Reads all stored jobs again, as a scheduler does that has lost the store; jobs that it knows stay as they are. */
  function readStoredAgain(): void {
    const host = current;
    if (!host || isStoreDown()) return;
    host.state.isReadingStoredJobs = true;
    const found = [...stored.values()].filter(({ end }) => !end);
    runAfter(STORE_CALL_MS + random() * 20, () => {
      if (host.isAlive) {
        for (const job of found) submitStored(host, { job, mayHaveRun: true });
      }
      host.state.isReadingStoredJobs = false;
    });
  }

  function submitStored(
    host: FuzzHost,
    found: { job: StoredJob; mayHaveRun: boolean },
  ): void {
    const { job, mayHaveRun } = found;
    const { progress, acceptedMs } = job;
    // Only where its age matters, as it changes when other histories' tasks start.
    const ageMs = hasAges ? nowMs - acceptedMs : 0;
    const order = { ...job.order, ageMs };
    host.applyDecision((atMs) => {
      submitStoredJob(host.state, order, {
        nowMs: atMs,
        mayHaveRun,
        progress: progress && decodeProgress(progress, order),
      });
      if (job.isCancelled) cancelJob(host.state, order.id, atMs);
    });
  }

  function checkCounts({ state }: FuzzHost): void {
    const [found] = [
      ...findWrongCounts(state),
      ...findMissedPending(state, (id) => oracle.hasStarted(id)),
    ];
    if (!found || hasWrongCounts) return;
    hasWrongCounts = true;
    oracle.violations.push(`${nowMs}: ${found}`);
  }

  /** Writes the progress of unsaved jobs; the store accepts writes of the role holder only. */
  function save(host: FuzzHost): void {
    if (!host.isAlive) return;
    checkCounts(host);
    if (isStoreDown() && !hasSilences) {
      runAfter(STORE_RETRY_MS, () => save(host));
      return;
    }
    const { state } = host;
    const jobs = state.areStoredJobsRead ? [...state.unsaved] : [];
    for (const job of jobs) state.unsaved.delete(job);
    const saves = jobs.map((job) => {
      const runEnds = job.unsavedEnds;
      job.unsavedEnds = [];
      return {
        job,
        runEnds,
        end: job.outcome,
        lossChanges: job.lossChanges,
        progress: encodeProgress(job),
      };
    });
    const isLost = isStoreDown();
    const callMs = isStoreSilent() ? STORE_TIMEOUT_MS : STORE_CALL_MS;
    runAfter(callMs, () => {
      if (!host.isAlive) return;
      // The store refuses the write of an earlier scheduler.
      if (host !== current || isLost) {
        for (const { job, runEnds } of saves) {
          state.unsaved.add(job);
          job.unsavedEnds.push(...runEnds);
        }
        saves.length = 0;
      }
      for (const { job, runEnds, end, lossChanges, progress } of saves) {
        const row = stored.get(job.order.id) as StoredJob;
        row.progress = progress;
        row.end ??= end;
        confirmJobStored(state, job, {
          ends: runEnds,
          isEnd: end !== undefined,
          lossChanges,
          nowMs,
        });
      }
      runAfter(SAVE_INTERVAL_MS, () => save(host));
    });
  }

  function replaceHost(host: FuzzHost, forMs: number): void {
    // The earlier scheduler loses its links and goes on with its jobs until it detects the loss.
    current = undefined;
    earlier = host;
    vms.dropLinks(host);
    runAfter(VM_TIMEOUT_MS, () => vms.loseAll(host));
    runAfter(forMs, () => {
      host.isAlive = false;
      vms.dropLinks(host);
    });
    runAfter(TAKEOVER_DELAY_MS, () => whenStoreIsUp(beginHostIfNone));
  }

  function losePower(host: FuzzHost): void {
    host.isAlive = false;
    current = undefined;
    if (earlier) earlier.isAlive = false;
    vms.losePower();
    runAfter(RESTART_DELAY_MS, () => whenStoreIsUp(beginHostIfNone));
  }

  function cancelNewest(): void {
    const job = [...stored.values()].filter(({ end }) => !end).at(-1);
    if (!job || isStoreDown()) return;
    job.isCancelled = true;
    runAfter(STORE_CALL_MS, () => {
      current?.applyDecision((atMs) =>
        cancelJob((current as FuzzHost).state, job.order.id, atMs)
      );
    });
  }

  function beginFault(fault: Fault): void {
    const endpoint = endpoints[fault.endpoint];
    if (fault.kind === "takeover") {
      if (current) replaceHost(current, fault.forMs);
      return;
    }
    if (fault.kind === "powerLoss") {
      if (current) losePower(current);
      return;
    }
    if (fault.kind === "cancel") return cancelNewest();
    if (fault.kind === "linkClosed" || fault.kind === "linkUnresponsive") {
      const isSilent = fault.kind === "linkUnresponsive";
      vms.breakLink(fault.endpoint, { isSilent, forMs: fault.forMs });
      return;
    }
    if (fault.kind === "linkToEarlier") {
      vms.linkToEarlier(fault.endpoint, fault.forMs);
      return;
    }
    if (fault.kind === "processRestart") endpoint.restart(nowMs);
    if (fault.kind === "dataCentreCut") {
      if (!current) return;
      cutHosts.set(fault, current);
      replaceHost(current, fault.forMs);
    }
    if (fault.kind === "cut") cutHosts.set(fault, current);
    if (fault.kind === "runsFail") endpoint.isFailing = true;
    if (fault.kind === "runsHang") endpoint.isHanging = true;
    if (fault.kind === "startsRejected") endpoint.isRejecting = true;
    const dataCentre = findDataCentre(endpoint);
    if (fault.kind === "evacuated") evacuations.begin(dataCentre, nowMs);
    activeFaults.add(fault);
    runAfter(fault.forMs, () => {
      activeFaults.delete(fault);
      if (fault.kind === "evacuated") evacuations.end(dataCentre);
      if (fault.kind.startsWith("store")) storeSinceMs = nowMs;
      if (hasSilences && fault.kind.startsWith("store")) readStoredAgain();
      endpoint.isFailing = isFaulty("runsFail", endpoint);
      endpoint.isHanging = isFaulty("runsHang", endpoint);
      endpoint.isRejecting = isFaulty("startsRejected", endpoint);
    });
  }

  function submit(index: number): void {
    const id = `job${index}`;
    const isCrashing = [...activeFaults].some(({ kind }) =>
      kind === "tasksCrash"
    );
    if (isCrashing && index % 3 === 0) crashingTasks.add(`${id}.0.0.0`);
    const factor = (hasOutages ? STORE_TASK_FACTOR : 1) *
      (hasSmallTasks ? SMALL_TASK_FACTOR : 1);
    const areEstimatesOff = [...activeFaults].some(({ kind }) =>
      kind === "estimatesOff"
    );
    const room = { cpu: taskCpu, memoryMb: 64, gpus: 0 };
    const estimate = areEstimatesOff
      ? { estimateMs: WRONG_ESTIMATES_MS[index % WRONG_ESTIMATES_MS.length] }
      : { estimateMs: 200 };
    const steps = index % 3 === 0
      ? [
        createStep(2 * factor, { room, ...estimate }),
        createStep(1, {
          room,
          after: [0],
          ...(areEstimatesOff ? estimate : {}),
        }),
      ]
      : [createStep((1 + index % 4) * factor, { room, ...estimate })];
    const order = createOrder({
      id,
      steps,
      maxAttempts: MAX_ATTEMPTS,
      stretch: 8,
    });
    if (index % 2 === 0) {
      unstoredOrders.set(id, order);
      vms.submit(order, index / 2);
      return;
    }
    const job = {
      order: { ...order, isKept: true },
      acceptedMs: nowMs,
      isCancelled: false,
    };
    whenStoreIsUp(() => storeJob(job));
  }

  function storeJob(job: StoredJob): void {
    stored.set(job.order.id, job);
    runAfter(STORE_CALL_MS, () => {
      if (!current) return;
      const mayHaveRun = nowMs - current.state.startedMs < MAY_HAVE_RUN_MS;
      submitStored(current, { job, mayHaveRun });
    });
  }

  function advanceEndpoints(): void {
    for (const endpoint of endpoints) endpoint.advance(nowMs);
    runAfter(5, advanceEndpoints);
  }

  beginHost();
  advanceEndpoints();
  for (let index = 0; index < JOB_COUNT; index += 1) {
    runAfter(500 + random() * ACTIVE_PHASE_MS, () => submit(index));
  }
  for (const fault of faults) runAfter(fault.atMs, () => beginFault(fault));
  while (nowMs < HISTORY_MS) events.pop()?.();

  const ended: Record<string, number> = {};
  for (const { type } of outcomes.values()) {
    ended[type] = (ended[type] ?? 0) + 1;
  }
  const violations = oracle.findViolations();
  for (const id of vms.openJobs.keys()) {
    violations.push(`${id} was never answered`);
  }
  for (const [id, { type }] of outcomes) {
    if (type !== "completed") continue;
    const order = unstoredOrders.get(id) as JobOrder;
    violations.push(...findIncompleteTasks(order, oracle));
  }
  for (const { order, end, isCancelled } of stored.values()) {
    const how = end?.type ?? "none";
    ended[`stored ${how}`] = (ended[`stored ${how}`] ?? 0) + 1;
    if (!end) violations.push(`${order.id} was stored and never ended`);
    if (end?.type === "refused") violations.push(`${order.id} was refused`);
    const isFailed = end?.type === "failed" && !isCancelled;
    const mayGiveUp = end?.type === "failed" &&
      end.reason === "endpointsCrashed" && hasCrashedTwice(order, oracle);
    if (isFailed && end.reason !== "attemptsUsed" && !mayGiveUp) {
      violations.push(`${order.id} failed: ${end.reason}`);
    }
    if (end?.type === "completed") {
      violations.push(...findIncompleteTasks(order, oracle));
    }
  }
  return { violations, ended };
}

/** Whether two endpoints have crashed under a task of the job. */
function hasCrashedTwice(order: JobOrder, oracle: Oracle): boolean {
  return listTaskNames(order).some((task) => oracle.countCrashes(task) >= 2);
}

function listTaskNames({ id, steps }: JobOrder): string[] {
  return steps.flatMap(({ count }, step) =>
    Array.from({ length: count }, (_, index) => `${id}.0.${step}.${index}`)
  );
}

function findIncompleteTasks(order: JobOrder, oracle: Oracle): string[] {
  return listTaskNames(order)
    .filter((task) => !oracle.hasEnded(task, "done"))
    .map((task) => `${task} was not done but its job ended as completed`);
}
