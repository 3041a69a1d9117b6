import { collectKnownSubmissions } from "../decide/claim/collect_known_submissions.ts";
import { formatLogKey } from "../decide/claim/format_log_key.ts";
import { answerFromLog } from "../decide/entry/answer_from_log.ts";
import type { EntryCommand } from "../decide/entry/entry_command.ts";
import { closeJobOfLostOwner } from "../decide/entry/close_job_of_lost_owner.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import { isLeaseExpired } from "../decide/own/is_lease_expired.ts";
import type { ShardState } from "../decide/own/shard_state.ts";
import { readError } from "../errors/read_error.ts";
import { parseAnswer } from "../peer/parse_answer.ts";
import { readClock } from "../utils/read_clock.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import { parseJobKey } from "./parse_job_key.ts";

type AskOwner = EntryCommand & { type: "askOwner" };

/** Longest wait for an owner of an earlier epoch, in ms. */
const OWNER_WAIT_MS = 30_000;
const RETRY_AFTER_MS = 1_000;

/** Asks the live process that still runs a job; settles the job when that process is gone. */
export async function askOwner(
  context: EntryContext,
  ask: AskOwner,
): Promise<void> {
  try {
    if (isOwnerLive(context, ask)) {
      answerCaller(context, ask.callerId, await requestAnswer(context, ask));
    } else {
      await settleJob(context, ask);
    }
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("ownerNotAsked", { job: ask.key, message });
    answerCaller(context, ask.callerId, {
      status: "pending",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}

function answerCaller(
  context: EntryContext,
  callerId: string,
  answer: JobAnswer,
): void {
  context.callers.get(callerId)?.(answer);
  context.callers.delete(callerId);
}

function isOwnerLive(context: EntryContext, ask: AskOwner): boolean {
  const lease = context.view.leases.get(ask.owner);
  if (lease?.value.incarnation !== ask.incarnation) return false;
  if (context.view.confirmedDead.has(ask.incarnation)) return false;
  const { monotonicMs } = readClock();
  return !isLeaseExpired(lease, monotonicMs + context.view.platformOffsetMs);
}

async function requestAnswer(
  context: EntryContext,
  ask: AskOwner,
): Promise<JobAnswer> {
  const message = await context.callPeer(ask.owner, {
    method: "LookUpJob",
    request: {
      ...parseJobKey(ask.key),
      waitMs: OWNER_WAIT_MS,
      ownOnly: true,
    },
    timeoutMs: OWNER_WAIT_MS + RETRY_AFTER_MS,
  });
  return parseAnswer(message);
}

/** The owner may have written the outcome after this process loaded the log. */
async function settleJob(context: EntryContext, ask: AskOwner): Promise<void> {
  const shard = findKnowingShard(context, ask.key);
  if (!shard) throw new Error("the shard has moved on");
  const { dataCentre } = context.settings;
  const prefix = `log/${dataCentre}/${shard.index}/`;
  const scan = await context.platform.table.scan(prefix, 0);
  const own = formatLogKey({
    dataCentre,
    shard: shard.index,
    epoch: shard.epoch,
  });
  const rows = scan.rows.filter((row) => !row.key.startsWith(own));
  const written = collectKnownSubmissions(rows).get(ask.key);
  decide(context, (state) => {
    closeJobOfLostOwner(shard, ask.key, written);
    const known = shard.known.get(ask.key);
    if (known) answerFromLog(state, known, ask);
  });
}

function findKnowingShard(
  context: EntryContext,
  key: string,
): ShardState | undefined {
  return [...context.state.shards.values()].find((shard) =>
    shard.phase === "active" && shard.known.has(key)
  );
}
