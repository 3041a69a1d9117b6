import { Hono } from "hono";
import type { Context } from "hono";
import { countBodyBytes } from "../http/count_body_bytes.ts";
import { readJsonBody } from "../http/read_json_body.ts";
import { isTokenValid } from "../auth/is_token_valid.ts";
import { findOperator } from "../auth/find_operator.ts";
import { hasSpaceForBytes } from "../decide/entry/has_space_for_bytes.ts";
import { computeRequestDigest } from "../decide/job/compute_request_digest.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import { readClock } from "../utils/read_clock.ts";
import { computeAnswerStatus } from "./compute_answer_status.ts";
import { createJobRequest } from "./create_job_request.ts";
import { describeEntry } from "./describe_entry.ts";
import type { EntryContext } from "./entry_context.ts";
import { findJob } from "./find_job.ts";
import { formatAnswerBody } from "./format_answer_body.ts";
import { isEntryReady } from "./is_entry_ready.ts";
import { receiveJob } from "./receive_job.ts";
import { createSubmissionSchema } from "./create_submission_schema.ts";
import { requestCancellation } from "./request_cancellation.ts";

/** Longest wait that a job query may request, in ms. */
const MAX_QUERY_WAIT_MS = 60_000;
/** Retry delay that is returned to callers while there is no memory for their jobs, in ms. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000;
/** Added to a job's deadline to get the wait of a caller that sets none, in ms. */
const DEFAULT_WAIT_MARGIN_MS = 2_000;

/**
 * Creates the HTTP API for callers: job submission, query and cancellation,
 * and the entry's health, status and drain.
 */
export function createCallerApp(context: EntryContext): Hono {
  const app = new Hono();
  const schema = createSubmissionSchema(context.settings);

  /**
   * Decodes a submission and submits its job, or refuses it. Apart from the
   * route, which waits for the answer and would keep the tasks in memory.
   */
  async function receiveSubmission(http: Context): Promise<
    | { client: string; submissionId: string; answer: Promise<JobAnswer> }
    | Response
  > {
    const submission = schema.safeParse(await readJsonBody(http));
    if (!submission.success) {
      return refuseInput(http, 400, {
        kind: "requestInvalid",
        message: describeIssues(submission.error.issues),
      });
    }
    const { client, submissionId, waitMs, deadlineMs } = submission.data;
    if (!isClientToken(context, http, client)) return refuseToken(http);
    const request = createJobRequest(submission.data);
    const answer = receiveJob(context, {
      request,
      digest: computeRequestDigest(request),
      waitMs: waitMs ?? deadlineMs + DEFAULT_WAIT_MARGIN_MS,
      hops: 0,
    });
    return { client, submissionId, answer };
  }

  app.get("/health", (http) => {
    const ready = isEntryReady(context);
    return http.json({ ready }, ready ? 200 : 503);
  });

  app.get("/status", (http) => {
    const { configuration } = context.state.version;
    const header = http.req.header("authorization");
    if (!findOperator(configuration, header)) return refuseToken(http);
    return http.json(describeEntry(context));
  });

  app.post("/drain", (http) => {
    const { configuration } = context.state.version;
    const header = http.req.header("authorization");
    const operator = findOperator(configuration, header);
    if (!operator) return refuseToken(http);
    context.logger.info("drainAsked", { operator });
    context.requestStop();
    return http.json({ stopping: true }, 202);
  });

  app.post("/v1/jobs", async (http) => {
    const bytes = countBodyBytes(http);
    if (!hasSpaceForBytes(context.state, bytes, readClock())) {
      return refuseUndecoded(http);
    }
    const received = await receiveSubmission(http);
    if (received instanceof Response) return received;
    return sendAnswer(http, received, await received.answer);
  });

  app.get("/v1/jobs/:client/:id", async (http) => {
    const job = readJobId(http);
    if (!isClientToken(context, http, job.client)) return refuseToken(http);
    const waitMs = Number(http.req.query("waitMs") ?? 0) || 0;
    const { answer } = await findJob(context, {
      ...job,
      waitMs: Math.min(waitMs, MAX_QUERY_WAIT_MS),
      hops: 0,
      ownOnly: false,
      explain: false,
    });
    return sendAnswer(http, job, answer);
  });

  app.get("/v1/jobs/:client/:id/record", async (http) => {
    const job = readJobId(http);
    if (!isClientToken(context, http, job.client)) return refuseToken(http);
    const { answer, record } = await findJob(context, {
      ...job,
      waitMs: 0,
      hops: 0,
      ownOnly: false,
      explain: true,
    });
    if (record === "") return sendAnswer(http, job, answer);
    return http.body(record, 200, { "content-type": "application/json" });
  });

  app.delete("/v1/jobs/:client/:id", async (http) => {
    const job = readJobId(http);
    if (!isClientToken(context, http, job.client)) return refuseToken(http);
    const answer = await requestCancellation(context, { ...job, hops: 0 });
    return sendAnswer(http, job, answer);
  });

  return app;
}

function readJobId(http: Context): { client: string; submissionId: string } {
  return {
    client: http.req.param("client") ?? "",
    submissionId: http.req.param("id") ?? "",
  };
}

function describeIssues(
  issues: { path: PropertyKey[]; message: string }[],
): string {
  const found = issues
    .slice(0, 10)
    .map((issue) => `${issue.path.join(".") || "(body)"}: ${issue.message}`);
  return `The job is not valid JSON of the documented shape: ${
    found.join("; ")
  }. Correct it and submit again`;
}

function isClientToken(
  context: EntryContext,
  http: Context,
  client: string,
): boolean {
  const configured = context.state.version.configuration.clients[client];
  const header = http.req.header("authorization");
  const placeholderDigest = "0".repeat(64);
  const digest = configured?.tokenDigest ?? placeholderDigest;
  return isTokenValid(header, digest) && configured !== undefined;
}

/**
 * Answers 401 without `notRun`, because a job with this id may be running for a
 * caller with the right token.
 */
function refuseToken(http: Context): Response {
  const failure = {
    kind: "tokenInvalid",
    message:
      "The token does not fit the name; send 'Authorization: Bearer TOKEN' with the token that the operators gave out",
  };
  return http.json({ status: "refused", failure }, 401);
}

function refuseInput(
  http: Context,
  status: 400,
  failure: { kind: string; message: string },
): Response {
  return http.json({ status: "refused", failure, notRun: true }, status);
}

/** Refuses a submission whose id has not been read, so that an earlier one with this id may run. */
function refuseUndecoded(http: Context): Response {
  const failure = {
    kind: "overloaded",
    message:
      "The entry has no memory for a further job of this size now; send the same request, with the same id, again",
  };
  const answer = {
    status: "refused",
    failure,
    notRun: false,
    retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
  };
  return http.json(answer, 429, {
    "retry-after": String(NO_MEMORY_RETRY_AFTER_MS / 1_000),
  });
}

function sendAnswer(
  http: Context,
  job: { client: string; submissionId: string },
  answer: JobAnswer,
): Response {
  const headers: Record<string, string> = {
    "content-type": "application/json",
  };
  if ("retryAfterMs" in answer && answer.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(answer.retryAfterMs / 1_000));
  }
  const status = computeAnswerStatus(answer);
  return http.body(formatAnswerBody(job, answer), status, headers);
}
