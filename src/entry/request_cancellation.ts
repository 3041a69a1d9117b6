import { cancelJob } from "../decide/entry/cancel_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import { readError } from "../errors/read_error.ts";
import { parseAnswer } from "../peer/parse_answer.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { updateState } from "./update_state.ts";
import { MAX_HOPS } from "./max_hops.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJob } from "./find_job.ts";
import { findJobLocation } from "./find_job_location.ts";

/** A request to cancel a job. */
type CancelRequest = { client: string; submissionId: string; hops: number };

/** Time-out of a cancellation forwarded to a peer, in ms. */
const CANCEL_TIMEOUT_MS = 5_000;

/**
 * Cancels a job in this process, or forwards the request to the job's owner or
 * to the holder of its shard; resolves with the job's answer.
 */
export async function requestCancellation(
  context: EntryContext,
  request: CancelRequest,
): Promise<JobAnswer> {
  const key = createJobKey(request.client, request.submissionId);
  const job = context.state.jobs.get(key);
  if (job) {
    updateState(
      context,
      (state, clock) => cancelJob(state, job, clock.monotonicMs),
    );
    return job.answer ?? createUnreachableAnswer();
  }
  const target = await findForwardTarget(context, request, key);
  if (target === undefined || request.hops >= MAX_HOPS) {
    const query = { ...request, waitMs: 0, ownOnly: false, explain: false };
    return (await findJob(context, query)).answer;
  }
  return await forwardCancellation(context, request, target);
}

/**
 * Finds the peer that owns the job or holds its shard; undefined when there is
 * none, or when it is this process.
 */
async function findForwardTarget(
  context: EntryContext,
  request: CancelRequest,
  key: string,
): Promise<string | undefined> {
  const location = findJobLocation(context, request);
  if (!location) return undefined;
  const holder = await findHolder(context, location, request.hops);
  if (holder.type === "peer") return holder.name;
  if (holder.type === "none") return undefined;
  const known = holder.shard.known.get(key);
  const isElsewhere = known?.status === "open" && known.owner !== context.name;
  return isElsewhere ? known.owner : undefined;
}

async function forwardCancellation(
  context: EntryContext,
  request: CancelRequest,
  target: string,
): Promise<JobAnswer> {
  try {
    const message = await context.callPeer(target, {
      method: "CancelJob",
      request: { ...request, hops: request.hops + 1 },
      timeoutMs: CANCEL_TIMEOUT_MS,
    });
    return parseAnswer(message);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("jobNotCancelled", { process: target, message });
    return createUnreachableAnswer();
  }
}
