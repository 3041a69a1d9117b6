import type { EntryCommand } from "../decide/entry/entry_command.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { EntryContext } from "./entry_context.ts";

const RETRY_AFTER_MS = 2_000;

/** Reads a stored answer from the object store and sends it to the caller. */
export async function answerFromStore(
  context: EntryContext,
  read: EntryCommand & { type: "readAnswer" },
): Promise<void> {
  const answer = await loadStoredAnswer(context, read);
  context.callers.get(read.callerId)?.(answer);
  context.callers.delete(read.callerId);
}

async function loadStoredAnswer(
  context: EntryContext,
  read: EntryCommand & { type: "readAnswer" },
): Promise<JobAnswer> {
  try {
    const text = await context.platform.objects.get(read.object);
    const results = text && JSON.parse(text)[read.key];
    if (results) return { status: "complete", results };
  } catch {
    return { status: "pending", retryAfterMs: RETRY_AFTER_MS };
  }
  return {
    status: "failed",
    failure: {
      kind: "mayHaveRun",
      message: "The job was complete, but its answer is no longer kept",
    },
    mayHaveRun: true,
  };
}
