import type { KnownSubmission } from "../claim/known_submission.ts";
import { createReusedAnswer } from "../job/create_reused_answer.ts";
import type { EntryState } from "./entry_state.ts";

/** Answers a submission from what the shard's log says about it. */
export function answerFromLog(
  state: EntryState,
  known: KnownSubmission,
  submission: { key: string; digest?: string; callerId: string },
): void {
  const { callerId, key, digest } = submission;
  if (digest !== undefined && known.digest !== digest) {
    const answer = createReusedAnswer();
    state.outbox.push({ type: "answerCaller", callerId, answer });
  } else if (known.status === "open") {
    const { owner, incarnation } = known;
    state.outbox.push({ type: "askOwner", callerId, owner, incarnation, key });
  } else if (known.answer !== undefined) {
    const object = known.answer;
    state.outbox.push({ type: "readAnswer", callerId, object, key });
  } else {
    answerFailed(state, known, callerId);
  }
}

function answerFailed(
  state: EntryState,
  known: KnownSubmission,
  callerId: string,
): void {
  const failure = known.failure ?? {
    kind: "mayHaveRun" as const,
    message: "The job was complete, but its answer is no longer kept",
  };
  state.outbox.push({
    type: "answerCaller",
    callerId,
    answer: {
      status: "failed",
      failure,
      mayHaveRun: known.mayHaveRun ?? true,
    },
  });
}
