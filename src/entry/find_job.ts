import { lookUpJob } from "../decide/entry/look_up_job.ts";
import { createJobKey } from "../decide/job/create_job_key.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { ShardState } from "../decide/own/shard_state.ts";
import { readError } from "../errors/read_error.ts";
import { parseAnswer } from "../peer/parse_answer.ts";
import { addCaller } from "./add_caller.ts";
import { createUnreachableAnswer } from "./create_unreachable_answer.ts";
import { updateState } from "./update_state.ts";
import { describeJob } from "./describe_job.ts";
import { MAX_HOPS } from "./max_hops.ts";
import { PEER_TIMEOUT_MARGIN_MS } from "./peer_timeout_margin_ms.ts";
import type { EntryContext } from "./entry_context.ts";
import { findHolder } from "./find_holder.ts";
import { findJobLocation } from "./find_job_location.ts";

/** A query for a job's answer. */
type JobQuery = {
  client: string;
  submissionId: string;
  waitMs: number;
  hops: number;
  /** Answer from this process's own jobs only. */
  ownOnly: boolean;
  /** Add the record that says to which endpoint each task was routed. */
  explain: boolean;
};

/**
 * A job's answer, and its record as JSON text; the record is empty unless it
 * was requested and the job is known here.
 */
type JobLookup = { answer: JobAnswer; record: string };

/** Looks up a job's answer in this process or at the holder of its shard. */
export async function findJob(
  context: EntryContext,
  query: JobQuery,
): Promise<JobLookup> {
  const key = createJobKey(query.client, query.submissionId);
  if (query.ownOnly || context.state.jobs.has(key)) {
    return await findLocally(context, query, undefined);
  }
  const location = findJobLocation(context, query);
  const holder = location
    ? await findHolder(context, location, query.hops)
    : { type: "none" as const };
  if (holder.type === "self") return findLocally(context, query, holder.shard);
  if (holder.type === "none" || query.hops >= MAX_HOPS) {
    return { answer: createUnreachableAnswer(), record: "" };
  }
  return await askHolder(context, query, holder.name);
}

async function findLocally(
  context: EntryContext,
  query: JobQuery,
  shard: ShardState | undefined,
): Promise<JobLookup> {
  const { callerId, answer } = addCaller(context, query.waitMs);
  updateState(
    context,
    (state) => lookUpJob(state, { ...query, callerId }, shard),
  );
  const jobAnswer = await answer;
  const key = createJobKey(query.client, query.submissionId);
  const job = context.state.jobs.get(key);
  const record = query.explain && job ? JSON.stringify(describeJob(job)) : "";
  return { answer: jobAnswer, record };
}

async function askHolder(
  context: EntryContext,
  query: JobQuery,
  holder: string,
): Promise<JobLookup> {
  try {
    const message = await context.callPeer(holder, {
      method: "LookUpJob",
      request: { ...query, hops: query.hops + 1 },
      timeoutMs: query.waitMs + PEER_TIMEOUT_MARGIN_MS,
    });
    return { answer: parseAnswer(message), record: message.record };
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("jobNotLookedUp", { process: holder, message });
    return { answer: createUnreachableAnswer(), record: "" };
  }
}
