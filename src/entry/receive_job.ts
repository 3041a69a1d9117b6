import { submitJob } from "../decide/entry/submit_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { JobRequest } from "../decide/job/job_request.ts";
import { addCaller } from "./add_caller.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { decide } from "./decide.ts";
import { MOST_HOPS } from "./most_hops.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJobPlace } from "./find_job_place.ts";
import { forwardJob } from "./forward_job.ts";
import type { JobPlace } from "./job_place.ts";
import { refreshShardRow } from "./refresh_shard_row.ts";

/** A submission on its way to the holder of its shard. */
type Incoming = {
  request: JobRequest;
  digest: string;
  /** How long the caller waits for the answer, in ms. */
  waitMs: number;
  /** Forwards so far. */
  hops: number;
};

/** Takes a job here or passes it to the holder of its shard; resolves with the answer. */
export async function receiveJob(
  context: EntryContext,
  incoming: Incoming,
): Promise<JobAnswer> {
  const { request, hops } = incoming;
  const place = findJobPlace(context, request);
  if (!place) return createUnknownClientAnswer(request.client);
  const key = createJobKey(request.client, request.submissionId);
  if (context.state.jobs.has(key)) {
    return submitHere(context, incoming, place.shard);
  }
  const holder = await findHolder(context, place, hops);
  if (holder.type === "self") {
    return submitHere(context, incoming, place.shard);
  }
  if (holder.type === "none" || hops >= MOST_HOPS) {
    return createUnreachableAnswer();
  }
  const answer = await forwardJob(context, incoming, holder.name);
  if (answer) return answer;
  return await forwardAgain(context, incoming, { place, holder: holder.name });
}

/** The holder may have handed the shard over; the same id is safe to send to its successor. */
async function forwardAgain(
  context: EntryContext,
  incoming: Incoming,
  tried: { place: JobPlace; holder: string },
): Promise<JobAnswer> {
  await refreshShardRow(context, tried.place);
  const { dataCentre, shard } = tried.place;
  const row = context.view.shards.get(`${dataCentre}/${shard}`);
  if (!row || row.value.holder === tried.holder) {
    return createUnreachableAnswer();
  }
  return receiveJob(context, { ...incoming, hops: incoming.hops + 1 });
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

/** Another entry may know a later version, so this does not say that the job was not run. */
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
