import { cancelJob } from "../decide/entry/cancel_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import { readError } from "../errors/read_error.ts";
import { parseAnswer } from "../peer/parse_answer.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { decide } from "./decide.ts";
import { MOST_HOPS } from "./most_hops.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJob } from "./find_job.ts";
import { findJobPlace } from "./find_job_place.ts";

/** A request to cancel a job. */
type Stop = { client: string; submissionId: string; hops: number };

const CALL_MS = 5_000;

/** Cancels a job where it runs; resolves with its final answer. */
export async function requestCancellation(
  context: EntryContext,
  stop: Stop,
): Promise<JobAnswer> {
  const key = createJobKey(stop.client, stop.submissionId);
  const job = context.state.jobs.get(key);
  if (job) {
    decide(context, (state, clock) => cancelJob(state, job, clock.monotonicMs));
    return job.answer ?? createUnreachableAnswer();
  }
  const target = await findOwner(context, stop, key);
  if (target === undefined || stop.hops >= MOST_HOPS) {
    const query = { ...stop, waitMs: 0, ownOnly: false, explain: false };
    return (await findJob(context, query)).answer;
  }
  return await passOn(context, stop, target);
}

/** The peer that runs the job or holds its shard; undefined when that is this process. */
async function findOwner(
  context: EntryContext,
  stop: Stop,
  key: string,
): Promise<string | undefined> {
  const place = findJobPlace(context, stop);
  if (!place) return undefined;
  const holder = await findHolder(context, place, stop.hops);
  if (holder.type === "peer") return holder.name;
  if (holder.type === "none") return undefined;
  const known = holder.shard.known.get(key);
  const isElsewhere = known?.status === "open" && known.owner !== context.name;
  return isElsewhere ? known.owner : undefined;
}

async function passOn(
  context: EntryContext,
  stop: Stop,
  target: string,
): Promise<JobAnswer> {
  try {
    const message = await context.callPeer(target, {
      method: "CancelJob",
      request: { ...stop, hops: stop.hops + 1 },
      timeoutMs: CALL_MS,
    });
    return parseAnswer(message);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("jobNotCancelled", { process: target, message });
    return createUnreachableAnswer();
  }
}
