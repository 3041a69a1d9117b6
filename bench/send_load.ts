import { Agent } from "undici";
import { v7 as createId } from "uuid";
import { waitMs } from "../src/utils/wait_ms.ts";
import type { Arrival } from "./arrival.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { Scenario } from "./scenario.ts";

const DEADLINE_MS = 30_000;
const MOST_SENDS = 20;

type Reply = {
  status: JobOutcome["status"];
  failure?: { kind: string };
  results?: { endedAtMs: number }[];
  retryAfterMs?: number;
};

/** Sends every arrival at its time, to the entries in turn, and collects what became of each. */
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
    const leftMs = startedAtMs + arrival.atMs - performance.now();
    if (leftMs > 1) await waitMs(leftMs);
    outcomes.push(sendJob(scenario, arrival, { ...options, agent, index }));
  }
  const all = await Promise.all(outcomes);
  await agent.close();
  return all;
}

async function sendJob(
  scenario: Scenario,
  arrival: Arrival,
  options: { urls: () => string[]; agent: Agent; index: number },
): Promise<JobOutcome> {
  const id = createId();
  const firstMs = performance.now();
  const firstWallMs = Date.now();
  const deadlineAtMs = firstMs + (scenario.deadlineMs ?? DEADLINE_MS);
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
    const mayRetry = reply.status === "broken" || reply.status === "refused";
    const canRetry =
      (scenario.retries || reply.failure?.kind !== "overloaded") &&
      mayRetry && arrival.service === "proof" && sends < MOST_SENDS &&
      nowMs + retryAfterMs < deadlineAtMs;
    if (canRetry) {
      await waitMs(retryAfterMs);
      continue;
    }
    return {
      arrival,
      status: reply.status,
      kind: reply.failure?.kind,
      responseMs: nowMs - firstMs,
      answerMs: nowMs - sentMs,
      taskMs: (reply.results ?? []).map((one) => one.endedAtMs - firstWallMs),
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
    const isPending = (body.status as string) === "pending";
    return isPending ? { ...body, status: "refused" } : body;
  } catch {
    return { status: "broken", retryAfterMs: 200 };
  } finally {
    clearTimeout(timer);
  }
}
