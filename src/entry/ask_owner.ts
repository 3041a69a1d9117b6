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
import { updateState } from "./update_state.ts";
import type { EntryContext } from "./entry_context.ts";
import { parseJobKey } from "./parse_job_key.ts";

type AskOwnerCommand = EntryCommand & { type: "askOwner" };

/** Longest wait for the answer of a job's owner, in ms. */
const MAX_OWNER_WAIT_MS = 30_000;
const RETRY_AFTER_MS = 1_000;

/**
 * Answers a caller of a job that another process accepted in an earlier epoch
 * of the shard: requests the answer from that owner while it is live, and
 * closes the job with the outcome in the shard log otherwise.
 */
export async function askOwner(
  context: EntryContext,
  command: AskOwnerCommand,
): Promise<void> {
  try {
    if (isOwnerLive(context, command)) {
      answerCaller(
        context,
        command.callerId,
        await requestAnswer(context, command),
      );
    } else {
      await closeJob(context, command);
    }
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("ownerNotAsked", { job: command.key, message });
    answerCaller(context, command.callerId, {
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

function isOwnerLive(context: EntryContext, command: AskOwnerCommand): boolean {
  const lease = context.view.leases.get(command.owner);
  if (lease?.value.incarnation !== command.incarnation) return false;
  if (context.view.confirmedDead.has(command.incarnation)) return false;
  const { monotonicMs } = readClock();
  return !isLeaseExpired(lease, monotonicMs + context.view.platformOffsetMs);
}

async function requestAnswer(
  context: EntryContext,
  command: AskOwnerCommand,
): Promise<JobAnswer> {
  const message = await context.callPeer(command.owner, {
    method: "LookUpJob",
    request: {
      ...parseJobKey(command.key),
      waitMs: MAX_OWNER_WAIT_MS,
      ownOnly: true,
    },
    timeoutMs: MAX_OWNER_WAIT_MS + RETRY_AFTER_MS,
  });
  return parseAnswer(message);
}

/**
 * Closes a job whose owner is lost. Reads the shard log again first, because
 * the owner may have written the outcome after this process loaded the log.
 */
async function closeJob(
  context: EntryContext,
  command: AskOwnerCommand,
): Promise<void> {
  const shard = findShardWithSubmission(context, command.key);
  if (!shard) throw new Error("this process no longer serves the job's shard");
  const { dataCentre } = context.settings;
  const prefix = `log/${dataCentre}/${shard.index}/`;
  const scan = await context.platform.table.scan(prefix, 0);
  const ownKeyPrefix = formatLogKey({
    dataCentre,
    shard: shard.index,
    epoch: shard.epoch,
  });
  const rows = scan.rows.filter((row) => !row.key.startsWith(ownKeyPrefix));
  const written = collectKnownSubmissions(rows).get(command.key);
  updateState(context, (state) => {
    closeJobOfLostOwner(shard, command.key, written);
    const known = shard.known.get(command.key);
    if (known) answerFromLog(state, known, command);
  });
}

function findShardWithSubmission(
  context: EntryContext,
  key: string,
): ShardState | undefined {
  return [...context.state.shards.values()].find((shard) =>
    shard.phase === "active" && shard.known.has(key)
  );
}
