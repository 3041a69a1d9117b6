import { match } from "ts-pattern";
import type { JobRequest } from "../decide/job/job_request.ts";
import type { AnswerMessage } from "../peer/answer_message.ts";
import { formatAnswer } from "../peer/format_answer.ts";
import type { PeerCall } from "../peer/peer_call.ts";
import type { EntryContext } from "./entry_context.ts";
import { findJob } from "./find_job.ts";
import { receiveJob } from "./receive_job.ts";
import { requestCancellation } from "./request_cancellation.ts";

type SubmitMessage = JobRequest & {
  digest: string;
  waitMs: number;
  hops: number;
};
type LookUpMessage = Parameters<typeof findJob>[1];
type CancelMessage = Parameters<typeof requestCancellation>[1];

/** Handles a gRPC call from another entry. */
export function handlePeerCall(
  context: EntryContext,
  call: Pick<PeerCall, "method" | "request">,
): Promise<AnswerMessage> {
  const { method, request } = call;
  return match(method)
    .with("SubmitJob", () => submit(context, request as SubmitMessage))
    .with("LookUpJob", () => lookUp(context, request as LookUpMessage))
    .with("CancelJob", () => cancel(context, request as CancelMessage))
    .exhaustive();
}

async function submit(
  context: EntryContext,
  message: SubmitMessage,
): Promise<AnswerMessage> {
  const { digest, waitMs, hops, ...request } = message;
  const tasks = request.tasks.map((task) => ({
    ...task,
    declaredMs: task.declaredMs || undefined,
  }));
  const answer = await receiveJob(context, {
    request: { ...request, tasks },
    digest,
    waitMs,
    hops,
  });
  return formatAnswer(answer);
}

async function lookUp(
  context: EntryContext,
  message: LookUpMessage,
): Promise<AnswerMessage> {
  const { answer, record } = await findJob(context, message);
  return formatAnswer(answer, record);
}

async function cancel(
  context: EntryContext,
  message: CancelMessage,
): Promise<AnswerMessage> {
  return formatAnswer(await requestCancellation(context, message));
}
