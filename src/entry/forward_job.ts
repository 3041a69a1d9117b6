import type { JobAnswer } from "../decide/job/job_answer.ts";
import { countRequestBytes } from "../decide/job/count_request_bytes.ts";
import type { JobRequest } from "../decide/job/job_request.ts";
import { readError } from "../errors/read_error.ts";
import { parseAnswer } from "../peer/parse_answer.ts";
import { PEER_TIMEOUT_MARGIN_MS } from "./peer_timeout_margin_ms.ts";
import type { EntryContext } from "./entry_context.ts";

/** Forwards a submission to the holder of its shard; undefined when the holder did not answer. */
export async function forwardJob(
  context: EntryContext,
  incoming: {
    request: JobRequest;
    digest: string;
    waitMs: number;
    hops: number;
  },
  holder: string,
): Promise<JobAnswer | undefined> {
  const { request, digest, waitMs, hops } = incoming;
  context.metrics.increment("job.forward");
  const bytes = countRequestBytes(request.tasks);
  context.state.jobBytes += bytes;
  try {
    const message = await context.callPeer(holder, {
      method: "SubmitJob",
      request: { ...request, digest, waitMs, hops: hops + 1 },
      timeoutMs: waitMs + PEER_TIMEOUT_MARGIN_MS,
    });
    return parseAnswer(message);
  } catch (thrown) {
    const { message } = readError(thrown);
    context.logger.warn("jobNotForwarded", { process: holder, message });
    return undefined;
  } finally {
    context.state.jobBytes -= bytes;
  }
}
