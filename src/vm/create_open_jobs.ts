import type { JobOrder } from "../scheduler/job_order.ts";
import type { JobOutcome } from "../scheduler/job_outcome.ts";
import { parseTaskName } from "../scheduler/parse_task_name.ts";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { EventLog } from "./event_log.ts";
import { findGivenUp } from "./find_given_up.ts";
import type { LinkEvents } from "./link_events.ts";
import type { OpenJob } from "./open_job.ts";
import type { OpenJobs } from "./open_jobs.ts";
import type { SchedulerLink } from "./scheduler_link.ts";

/** How often jobs without a scheduler are reviewed, in ms. */
const REVIEW_MS = 50;

/** Keeps the jobs whose callers wait at this VM, and hands them to whoever is the scheduler. */
export function createOpenJobs(log: EventLog): OpenJobs {
  const jobs = new Map<string, OpenJob>();
  let link: SchedulerLink | undefined;
  const timer = setInterval(review, REVIEW_MS);

  function hand(job: OpenJob): void {
    if (!link) return;
    const isResubmitted = job.handedTo !== 0;
    const { wasSolo } = job;
    job.handedTo = link.epoch;
    job.wasSolo ||= link.isSolo;
    const ageMs = readMonotonicMs() - job.receivedMs;
    link.submit({ ...job.order, ageMs }, {
      isResubmitted,
      wasSolo,
      done: [...job.done],
      placed: [...job.placed].map(([task, endpointId]) => ({
        task,
        endpointId,
      })),
    });
  }

  function end(job: OpenJob, outcome: JobOutcome): void {
    jobs.delete(job.order.id);
    log("answered", {
      job: job.order.id,
      outcome: outcome.type,
      reason: outcome.type === "completed" ? undefined : outcome.reason,
      epoch: job.handedTo,
      tookMs: Math.round(readMonotonicMs() - job.receivedMs),
    });
    for (const answer of job.answer) answer(outcome);
  }

  function review(): void {
    if (link) return;
    const nowMs = readMonotonicMs();
    for (const job of [...jobs.values()]) {
      const outcome = findGivenUp(job, nowMs);
      if (outcome) end(job, outcome);
    }
  }

  function submit(
    order: JobOrder,
    answer: (outcome: JobOutcome) => void,
  ): () => void {
    const known = jobs.get(order.id);
    if (known) known.answer.push(answer);
    else {
      const job: OpenJob = {
        order,
        receivedMs: readMonotonicMs(),
        answer: [answer],
        handedTo: 0,
        wasSolo: false,
        placed: new Map(),
        done: new Set(),
      };
      jobs.set(order.id, job);
      hand(job);
    }
    return () => dropAnswer(order.id, answer);
  }

  function dropAnswer(id: string, answer: (outcome: JobOutcome) => void): void {
    const job = jobs.get(id);
    if (!job) return;
    job.answer = job.answer.filter((other) => other !== answer);
    if (job.answer.length > 0) return;
    jobs.delete(id);
    log("callerLeft", { job: id, epoch: job.handedTo });
    link?.abandon(id);
  }

  function findJobOf(task: string): OpenJob | undefined {
    const parsed = parseTaskName(task);
    return parsed && jobs.get(parsed.jobId);
  }

  const events: Pick<LinkEvents, "placed" | "done" | "ended"> = {
    placed: (task, endpointId) => findJobOf(task)?.placed.set(task, endpointId),
    done: (task) => findJobOf(task)?.done.add(task),
    ended: (id, outcome) => {
      const job = jobs.get(id);
      if (job) end(job, outcome);
    },
  };

  function cancel(id: string): boolean {
    const job = jobs.get(id);
    if (!job) return false;
    link?.abandon(id);
    const mayHaveRun = job.handedTo !== 0;
    end(
      job,
      mayHaveRun
        ? { type: "failed", reason: "abandoned" }
        : { type: "refused", reason: "abandoned", retryAfterMs: 0 },
    );
    return true;
  }

  return {
    submit,
    cancel,
    giveUp: () => {
      for (const id of [...jobs.keys()]) cancel(id);
    },
    events,
    setLink: (next) => {
      link = next;
      if (link) { for (const job of jobs.values()) hand(job); }
    },
    isEmpty: () => jobs.size === 0,
    count: () => jobs.size,
    hasLink: () => link !== undefined,
    close: () => clearInterval(timer),
  };
}
