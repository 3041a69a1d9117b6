import { lookUpJob } from "../decide/entry/look_up_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { ShardState } from "../decide/own/shard_state.ts";
import { readError } from "../errors/read_error.ts";
import { parseAnswer } from "../peer/parse_answer.ts";
import { addCaller } from "./add_caller.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { decide } from "./decide.ts";
import { describeJob } from "./describe_job.ts";
import { MOST_HOPS } from "./most_hops.ts";
import { ANSWER_MARGIN_MS } from "./answer_margin_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJobPlace } from "./find_job_place.ts";

/** A question about a job. */
type Query = {
  client: string;
  submissionId: string;
  waitMs: number;
  hops: number;
  /** Answer from this process's own jobs only. */
  ownOnly: boolean;
  /** Add the record of where each task went. */
  explain: boolean;
};

/** A job's answer, and its record where it was asked for. */
type Found = { answer: JobAnswer; record: string };

/** Finds out about a job, here or at the holder of its shard. */
export async function findJob(
  context: EntryContext,
  query: Query,
): Promise<Found> {
  const key = createJobKey(query.client, query.submissionId);
  if (query.ownOnly || context.state.jobs.has(key)) {
    return await findHere(context, query, undefined);
  }
  const place = findJobPlace(context, query);
  const holder = place
    ? await findHolder(context, place, query.hops)
    : { type: "none" as const };
  if (holder.type === "self") return findHere(context, query, holder.shard);
  if (holder.type === "none" || query.hops >= MOST_HOPS) {
    return { answer: createUnreachableAnswer(), record: "" };
  }
  return await askHolder(context, query, holder.name);
}

async function findHere(
  context: EntryContext,
  query: Query,
  shard: ShardState | undefined,
): Promise<Found> {
  const { callerId, answer } = addCaller(context, query.waitMs);
  decide(context, (state) => lookUpJob(state, { ...query, callerId }, shard));
  const given = await answer;
  const key = createJobKey(query.client, query.submissionId);
  const job = context.state.jobs.get(key);
  const record = query.explain && job ? JSON.stringify(describeJob(job)) : "";
  return { answer: given, record };
}

async function askHolder(
  context: EntryContext,
  query: Query,
  holder: string,
): Promise<Found> {
  try {
    const message = await context.callPeer(holder, {
      method: "LookUpJob",
      request: { ...query, hops: query.hops + 1 },
      timeoutMs: query.waitMs + ANSWER_MARGIN_MS,
    });
    return { answer: parseAnswer(message), record: message.record };
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("jobNotLookedUp", { process: holder, message });
    return { answer: createUnreachableAnswer(), record: "" };
  }
}
