import { submitJob } from "../decide/entry/submit_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import { createRefusal } from "../decide/job/create_refusal.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { JobRequest } from "../decide/job/job_request.ts";
import { addCaller } from "./add_caller.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJobPlace } from "./find_job_place.ts";
import { forwardJob } from "./forward_job.ts";

/** A submission on its way to the holder of its shard. */
type Incoming = {
  request: JobRequest;
  digest: string;
  /** How long the caller waits for the answer, in ms. */
  waitMs: number;
  /** Forwards so far. */
  hops: number;
};

/** Forwards after which a job is turned back rather than passed round. */
const MOST_HOPS = 3;

/** Takes a job here or passes it to the holder of its shard; resolves with the answer. */
export async function receiveJob(
  context: EntryContext,
  incoming: Incoming,
): Promise<JobAnswer> {
  const { request, hops } = incoming;
  const place = findJobPlace(context, request);
  if (!place) {
    const message =
      `The client '${request.client}' is not configured; ask the operators`;
    return createRefusal("clientUnknown", { message });
  }
  const key = createJobKey(request.client, request.submissionId);
  if (context.state.jobs.has(key)) {
    return submitHere(context, incoming, place.shard);
  }
  const holder = await findHolder(context, place);
  if (holder.type === "self") {
    return submitHere(context, incoming, place.shard);
  }
  if (holder.type === "none" || hops >= MOST_HOPS) {
    return createUnreachableAnswer();
  }
  return await forwardJob(context, incoming, holder.name);
}

function submitHere(
  context: EntryContext,
  incoming: Incoming,
  shard: number,
): Promise<JobAnswer> {
  const { callerId, answer } = addCaller(context, incoming.waitMs);
  const { request, digest } = incoming;
  decide(context, (state, clock) => {
    submitJob(state, { request, digest, shard, callerId }, clock);
  });
  return answer;
}
