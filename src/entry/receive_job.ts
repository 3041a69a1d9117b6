import { submitJob } from "../decide/entry/submit_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { JobRequest } from "../decide/job/job_request.ts";
import { addCaller } from "./add_caller.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { updateState } from "./update_state.ts";
import { MAX_HOPS } from "./max_hops.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJobLocation } from "./find_job_location.ts";
import { forwardJob } from "./forward_job.ts";
import type { JobLocation } from "./job_location.ts";
import { refreshShardRow } from "./refresh_shard_row.ts";

/** A submission, received from a caller or forwarded by another entry. */
type IncomingSubmission = {
  request: JobRequest;
  digest: string;
  /** How long the caller waits for the answer, in ms. */
  waitMs: number;
  /** Number of times the submission was forwarded between entries. */
  hops: number;
};

/** Submits a job in this process, or forwards it to the holder of its shard; resolves with the answer. */
export async function receiveJob(
  context: EntryContext,
  incoming: IncomingSubmission,
): Promise<JobAnswer> {
  const { request, hops } = incoming;
  const location = findJobLocation(context, request);
  if (!location) return createUnknownClientAnswer(request.client);
  const key = createJobKey(request.client, request.submissionId);
  if (context.state.jobs.has(key)) {
    return submitHere(context, incoming, location.shard);
  }
  const holder = await findHolder(context, location, hops);
  if (holder.type === "self") {
    return submitHere(context, incoming, location.shard);
  }
  if (holder.type === "none" || hops >= MAX_HOPS) {
    return createUnreachableAnswer();
  }
  const answer = await forwardJob(context, incoming, holder.name);
  if (answer) return answer;
  return await forwardAgain(context, incoming, {
    location,
    holder: holder.name,
  });
}

/**
 * Forwards a submission again when its shard has a new holder. Sending the
 * same id to the new holder is safe, because a submission runs only once.
 */
async function forwardAgain(
  context: EntryContext,
  incoming: IncomingSubmission,
  tried: { location: JobLocation; holder: string },
): Promise<JobAnswer> {
  await refreshShardRow(context, tried.location);
  const { dataCentre, shard } = tried.location;
  const row = context.view.shards.get(`${dataCentre}/${shard}`);
  if (!row || row.value.holder === tried.holder) {
    return createUnreachableAnswer();
  }
  return receiveJob(context, { ...incoming, hops: incoming.hops + 1 });
}

function submitHere(
  context: EntryContext,
  incoming: IncomingSubmission,
  shard: number,
): Promise<JobAnswer> {
  const { callerId, answer } = addCaller(context, incoming.waitMs);
  const { request, digest } = incoming;
  updateState(context, (state, clock) => {
    submitJob(state, { request, digest, shard, callerId }, clock);
  });
  return answer;
}

/**
 * Creates the refusal for an unknown client. `notRun` is false, because an
 * entry with a later configuration version may have accepted the job.
 */
function createUnknownClientAnswer(client: string): JobAnswer {
  return {
    status: "refused",
    failure: {
      kind: "clientUnknown",
      message: `The client '${client}' is not configured; ask the operators`,
    },
    notRun: false,
  };
}
