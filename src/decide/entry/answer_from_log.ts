import type { KnownSubmission } from "../claim/known_submission.ts";
import { createReusedIdRefusal } from "../job/create_reused_id_refusal.ts";
import type { EntryState } from "./entry_state.ts";

/**
 * Answers a request for a job by the state of its submission in the shard log.
 * The command depends on that state: answer the caller, ask the owner of an open
 * job, or read the stored answer. `digest` is undefined for look-ups.
 */
export function answerFromLog(
  state: EntryState,
  known: KnownSubmission,
  submission: { key: string; digest?: string; callerId: string },
): void {
  const { callerId, key, digest } = submission;
  if (digest !== undefined && known.digest !== digest) {
    const answer = createReusedIdRefusal();
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
