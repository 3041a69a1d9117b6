import { Agent } from "undici";
import { v7 as createId } from "uuid";
import { waitMs } from "../src/utils/wait_ms.ts";
import type { Arrival } from "./arrival.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { Scenario } from "./scenario.ts";

/** Deadline of a job whose scenario sets none, in ms. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Maximum number of times that one job is sent. */
const MAX_SENDS = 20;

type Reply = {
  status: JobOutcome["status"];
  failure?: { kind: string };
  results?: { endedAtMs: number }[];
  retryAfterMs?: number;
};

/** Sends every arrival at its time, to the entries in turn, and returns the outcomes. */
export async function sendLoad(
  scenario: Scenario,
  arrivals: Arrival[],
  options: { urls: () => string[]; onStart: () => void },
): Promise<JobOutcome[]> {
  const agent = new Agent({ connections: null, pipelining: 1 });
  const outcomes: Promise<JobOutcome>[] = [];
  const startedAtMs = performance.now();
  options.onStart();
  for (const [index, arrival] of arrivals.entries()) {
    const delayMs = startedAtMs + arrival.atMs - performance.now();
    if (delayMs > 1) await waitMs(delayMs);
    outcomes.push(sendJob(scenario, arrival, { ...options, agent, index }));
  }
  const settled = await Promise.all(outcomes);
  await agent.close();
  return settled;
}

/** Sends a job, repeatedly if its replies and the scenario allow a retry. */
async function sendJob(
  scenario: Scenario,
  arrival: Arrival,
  options: { urls: () => string[]; agent: Agent; index: number },
): Promise<JobOutcome> {
  const id = createId();
  const firstSentMs = performance.now();
  const firstSentUnixMs = Date.now();
  const deadlineAtMs = firstSentMs +
    (scenario.deadlineMs ?? DEFAULT_DEADLINE_MS);
  let sends = 0;
  while (true) {
    const urls = options.urls();
    const url = urls[(options.index + sends) % urls.length];
    sends += 1;
    const sentMs = performance.now();
    const reply = await postJob(url, arrival, {
      id,
      agent: options.agent,
      deadlineMs: Math.max(1, deadlineAtMs - sentMs),
    });
    const nowMs = performance.now();
    const retryAfterMs = reply.retryAfterMs ?? 1_000;
    const hasNoResult = reply.status === "broken" || reply.status === "refused";
    const canRetry =
      (scenario.retriesOverloaded || reply.failure?.kind !== "overloaded") &&
      hasNoResult && arrival.service === "proof" && sends < MAX_SENDS &&
      nowMs + retryAfterMs < deadlineAtMs;
    if (canRetry) {
      await waitMs(retryAfterMs);
      continue;
    }
    return {
      arrival,
      status: reply.status,
      kind: reply.failure?.kind,
      responseMs: nowMs - firstSentMs,
      answerMs: nowMs - sentMs,
      taskMs: (reply.results ?? []).map((result) =>
        result.endedAtMs - firstSentUnixMs
      ),
      sends,
    };
  }
}

async function postJob(
  url: string,
  arrival: Arrival,
  options: { id: string; agent: Agent; deadlineMs: number },
): Promise<Reply> {
  const { id, agent, deadlineMs } = options;
  const headers = { authorization: `Bearer ${arrival.client}-token` };
  const timer = arrival.cancelAfterMs === undefined
    ? undefined
    : setTimeout(() => {
      agent.request({
        origin: url,
        path: `/v1/jobs/${arrival.client}/${id}`,
        method: "DELETE",
        headers,
      }).then((reply) => reply.body.dump(), () => {});
    }, arrival.cancelAfterMs);
  try {
    const reply = await agent.request({
      origin: url,
      path: "/v1/jobs",
      method: "POST",
      headers,
      body: JSON.stringify({
        client: arrival.client,
        submissionId: id,
        deadlineMs,
        tasks: arrival.runMs.map((runMs, index) => ({
          service: arrival.service,
          body: { runMs },
          declaredRunTimeMs: arrival.declaredMs?.[index],
        })),
      }),
    });
    const body = await reply.body.json() as Reply;
    // A pending answer counts as a refusal, so that the job is sent again.
    const isPending = (body.status as string) === "pending";
    return isPending ? { ...body, status: "refused" } : body;
  } catch {
    return { status: "broken", retryAfterMs: 200 };
  } finally {
    clearTimeout(timer);
  }
}
