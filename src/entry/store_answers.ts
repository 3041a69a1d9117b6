import { formatLogKey } from "../decide/claim/format_log_key.ts";
import type { ShardState } from "../decide/own/shard_state.ts";
import { readError } from "../errors/read_error.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Stores the answers of the completed jobs in an append as one object, from
 * which resubmissions are answered. The append's records name the object, but
 * the append does not wait until the object is written. When the object is
 * missing, a resubmission is answered with `mayHaveRun`.
 */
export function storeAnswers(
  context: EntryContext,
  shard: ShardState,
  append: NonNullable<ShardState["inFlight"]>,
): void {
  const answers = collectAnswers(context, append);
  if (Object.keys(answers).length === 0) return;
  const shardLog = {
    dataCentre: context.state.dataCentre,
    shard: shard.index,
    epoch: shard.epoch,
  };
  const object = `answers/${formatLogKey(shardLog, append.sequence)}`;
  setAnswerObject(context, append, { object, answers });
  context.metrics.increment("platform.putAnswers");
  context.platform.objects.put(object, JSON.stringify(answers)).then(
    () => recordAnswersStored(context, Object.keys(answers)),
    (thrown) => {
      const { message } = readError(thrown);
      context.logger.warn("answersNotStored", { shard: shard.index, message });
    },
  );
}

function recordAnswersStored(context: EntryContext, keys: string[]): void {
  for (const key of keys) {
    const job = context.state.jobs.get(key);
    if (job) job.isAnswerStored = true;
  }
}

function setAnswerObject(
  context: EntryContext,
  append: NonNullable<ShardState["inFlight"]>,
  options: { object: string; answers: Record<string, string[]> },
): void {
  for (const record of append.records) {
    if (record.type !== "complete" || !options.answers[record.key]) continue;
    record.answer = options.object;
    const job = context.state.jobs.get(record.key);
    if (job) job.answerObject = options.object;
  }
}

function collectAnswers(
  context: EntryContext,
  append: NonNullable<ShardState["inFlight"]>,
): Record<string, string[]> {
  const answers: Record<string, string[]> = {};
  for (const record of append.records) {
    if (record.type !== "complete" || record.answer) continue;
    const answer = context.state.jobs.get(record.key)?.answer;
    if (answer?.status === "complete") answers[record.key] = answer.results;
  }
  return answers;
}
