import { countOrderBytes } from "../scheduler/count_order_bytes.ts";
import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import { parseTaskName } from "../scheduler/parse_task_name.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import { findTimeoutOutcome } from "./find_timeout_outcome.ts";
import type { OpenJob } from "./open_job.ts";
import type { OpenJobs } from "./open_jobs.ts";
import type { SchedulerLink } from "./scheduler_link.ts";

/** Interval at which jobs without a scheduler are reviewed, in ms. */
const REVIEW_INTERVAL_MS = 50;
/** The answer for a job whose order there is no space for. */
const NO_SPACE: JobOutcome = {
  type: "refused",
  reason: "noSpace",
  retryAfterMs: 1_000,
};
/** Longest delay that `setTimeout` supports, in ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Creates the store of the jobs whose callers wait at this VM; it submits them to the current scheduler and resubmits them after a takeover. */
export function createOpenJobs(
  log: EventLog,
  /** Called when a job was passed to another group and there is no guest link to its scheduler. */
  onGuestLinkNeeded: (group: string) => void = () => {},
  options: {
    /** Memory that the orders of all jobs may take, in bytes; a further job is refused. Default: unlimited. */
    maxOrderBytes?: number;
  } = {},
): OpenJobs {
  const { maxOrderBytes = Infinity } = options;
  let orderBytes = 0;
  const jobs = new Map<string, OpenJob>();
  let ownLink: SchedulerLink | undefined;
  const guestLinks = new Map<string, SchedulerLink>();
  /** Whether some job may have no usable link although this VM is linked. */
  let mayHaveUnlinkedJobs = false;
  /** Set while some job may have no scheduler. */
  let reviewTimer: ReturnType<typeof setInterval> | undefined;
  startReview();

  function startReview(): void {
    reviewTimer ??= setInterval(review, REVIEW_INTERVAL_MS);
  }

  /**
   * Finds the link over which the job may be submitted. A scheduler that has
   * received the job may still run it, so the job goes neither to an earlier
   * scheduler nor to this VM's own scheduler in solo mode.
   */
  function findLink(job: OpenJob): SchedulerLink | undefined {
    const link = job.group === undefined ? ownLink : guestLinks.get(job.group);
    const epoch = link?.isSolo ? 0 : link?.epoch ?? 0;
    return epoch < job.latestEpoch ? undefined : link;
  }

  function submitToScheduler(job: OpenJob): void {
    const link = findLink(job);
    if (!link) {
      mayHaveUnlinkedJobs = true;
      startReview();
      if (job.group !== undefined) onGuestLinkNeeded(job.group);
      return;
    }
    const isResubmitted = job.submittedEpoch !== 0;
    const { wasSolo } = job;
    job.mayHaveStartedElsewhere ||= link.isSolo ||
      isResubmitted && job.submittedEpoch !== link.epoch;
    job.submittedEpoch = link.epoch;
    job.wasSolo ||= link.isSolo;
    if (!link.isSolo) job.latestEpoch = link.epoch;
    const ageMs = readMonotonicMs() - job.receivedMs;
    link.submit({ ...job.order, ageMs, wasPassed: job.group !== undefined }, {
      isResubmitted,
      wasSolo,
      done: [...job.done],
      placed: [...job.placed].map(([task, endpointId]) => ({
        task,
        endpointId,
      })),
    });
  }

  function dropJob(job: OpenJob): void {
    clearTimeout(job.timer);
    if (jobs.delete(job.order.id)) orderBytes -= job.orderBytes;
  }

  /**
   * Abandons the job when its caller's wait time is over. The caller then
   * resends the job, which may reach another scheduler, and this VM does not
   * always notice that a caller has disconnected.
   */
  function startWaitTimer(job: OpenJob): void {
    const { id, waitMs } = job.order;
    clearTimeout(job.timer);
    job.timer = setTimeout(
      () => endEarly(id, "outOfTime"),
      Math.min(waitMs, MAX_TIMER_MS),
    );
  }

  function answerJob(job: OpenJob, outcome: JobOutcome): void {
    dropJob(job);
    log("answered", {
      job: job.order.id,
      outcome: outcome.type,
      reason: outcome.type === "completed" ? undefined : outcome.reason,
      epoch: job.submittedEpoch,
      tookMs: Math.round(readMonotonicMs() - job.receivedMs),
    });
    for (const answer of job.answerCallbacks) answer(outcome);
  }

  function review(): void {
    if (ownLink && !ownLink.isSolo && !mayHaveUnlinkedJobs) {
      clearInterval(reviewTimer);
      reviewTimer = undefined;
      return;
    }
    const nowMs = readMonotonicMs();
    mayHaveUnlinkedJobs = false;
    for (const job of [...jobs.values()]) {
      if (job.group !== undefined) mayHaveUnlinkedJobs = true;
      if (findLink(job)) continue;
      mayHaveUnlinkedJobs = true;
      const outcome = findTimeoutOutcome(job, nowMs);
      if (outcome) answerJob(job, outcome);
    }
  }

  function submit(
    order: JobOrder,
    answer: (outcome: JobOutcome) => void,
  ): () => void {
    const known = jobs.get(order.id);
    if (known) {
      known.answerCallbacks.push(answer);
      startWaitTimer(known);
    } else {
      const bytes = countOrderBytes(order);
      if (jobs.size > 0 && orderBytes + bytes > maxOrderBytes) {
        answer(NO_SPACE);
        return () => {};
      }
      orderBytes += bytes;
      const job: OpenJob = {
        order,
        orderBytes: bytes,
        receivedMs: readMonotonicMs(),
        answerCallbacks: [answer],
        submittedEpoch: 0,
        wasSolo: false,
        mayHaveStartedElsewhere: false,
        latestEpoch: 0,
        placed: new Map(),
        done: new Set(),
      };
      jobs.set(order.id, job);
      startWaitTimer(job);
      submitToScheduler(job);
    }
    return () => dropCaller(order.id, answer);
  }

  function dropCaller(id: string, answer: (outcome: JobOutcome) => void): void {
    const job = jobs.get(id);
    if (!job) return;
    job.answerCallbacks = job.answerCallbacks.filter((other) =>
      other !== answer
    );
    if (job.answerCallbacks.length > 0) return;
    dropJob(job);
    log("callerLeft", { job: id, epoch: job.submittedEpoch });
    findLink(job)?.abandon(id);
  }

  function findJobOfTask(task: string): OpenJob | undefined {
    const parsed = parseTaskName(task);
    return parsed && jobs.get(parsed.jobId);
  }

  const events: OpenJobs["events"] = {
    placed: (task, endpointId) =>
      findJobOfTask(task)?.placed.set(task, endpointId),
    done: (task) => findJobOfTask(task)?.done.add(task),
    ended: (id, outcome) => {
      const job = jobs.get(id);
      if (job) answerJob(job, outcome);
    },
    passed: (id, group) => {
      const job = jobs.get(id);
      if (!job) return;
      // The scheduler that passed the job has not started it. The other group's scheduler may treat the job as new unless a third scheduler may have started it.
      if (!job.mayHaveStartedElsewhere) job.submittedEpoch = 0;
      job.latestEpoch = 0;
      job.group = group;
      mayHaveUnlinkedJobs = true;
      startReview();
      log("jobHandedOn", { job: id, group });
      submitToScheduler(job);
    },
  };

  function endEarly(
    id: string,
    reason: "abandoned" | "outOfTime" | "cancelled",
  ): boolean {
    const job = jobs.get(id);
    if (!job) return false;
    const isCancelled = reason === "cancelled";
    findLink(job)?.abandon(id, isCancelled ? reason : "abandoned");
    const mayHaveRun = job.submittedEpoch !== 0;
    answerJob(
      job,
      mayHaveRun
        ? { type: "failed", reason }
        : { type: "refused", reason, retryAfterMs: 0 },
    );
    return true;
  }

  return {
    submit,
    cancel: (id) => endEarly(id, "cancelled"),
    abandonAll: () => {
      for (const id of [...jobs.keys()]) endEarly(id, "abandoned");
    },
    events,
    setLink: (next, group) => {
      if (group === undefined) ownLink = next;
      else if (next) guestLinks.set(group, next);
      else guestLinks.delete(group);
      if (!next || next.isSolo) startReview();
      if (!next) return;
      // The youngest first: after a time without a scheduler the oldest are late already, and would take the free capacity.
      for (const job of [...jobs.values()].reverse()) {
        if (job.group === group) submitToScheduler(job);
      }
    },
    isEmpty: () => jobs.size === 0,
    count: () => jobs.size,
    hasLink: () => ownLink !== undefined,
    listGuestGroups: () => {
      const groups = [...jobs.values()].map(({ group }) => group);
      return new Set(groups.filter((group) => group !== undefined));
    },
    close: () => {
      clearInterval(reviewTimer);
      for (const job of jobs.values()) clearTimeout(job.timer);
    },
  };
}
