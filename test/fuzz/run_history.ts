import { v7 as createId } from "uuid";
import type { JobAnswer } from "../../src/decide/job/job_answer.ts";
import type { JobRequest } from "../../src/decide/job/job_request.ts";
import { requestCancellation } from "../../src/entry/request_cancellation.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import type { FakeEntry } from "./fake_entry.ts";
import type { Step } from "./step.ts";
import { startVirtualTime } from "./virtual_time.ts";
import { World } from "./world.ts";

/** Time after the patch in which a leaving endpoint may still get tasks. */
const LEAVING_GRACE_MS = 5_000;
/** Time after the end of all faults in which leases expire, shards are taken over and logs are read. */
const SETTLE_MS = 12_000;
/** Age of the time stamp in a submission id of kind `old`. */
const OLD_ID_AGE_MS = 30_000;
/** Lead of the time stamp in a submission id of kind `future`. */
const FUTURE_ID_OFFSET_MS = 60_000;

/** Outcome of a history. */
export type HistoryResult = {
  violations: string[];
  /** Answers to the resubmissions at the end of the history, by index of `requests`. */
  answers: (JobAnswer | undefined)[];
  requests: JobRequest[];
  counts: World["oracle"]["counts"];
};

/** Runs a history in the simulation and checks every guarantee during the steps and at the end. */
export async function runHistory(
  steps: Step[],
  seed: number,
): Promise<HistoryResult> {
  const virtualTime = startVirtualTime();
  const world = new World(seed);
  const runner = new HistoryRunner(world, seed, virtualTime.advanceMs);
  try {
    world.start();
    await virtualTime.advanceMs(2_000);
    for (const step of steps) await runner.runStep(step);
    const answers = await runner.settle();
    return {
      violations: world.oracle.violations,
      answers,
      requests: runner.requests,
      counts: world.oracle.counts,
    };
  } finally {
    world.stop();
    virtualTime.stop();
  }
}

class HistoryRunner {
  readonly requests: JobRequest[] = [];
  #patchCount = 0;
  #random: () => number;

  constructor(
    readonly world: World,
    seed: number,
    readonly advanceMs: (ms: number) => Promise<void>,
  ) {
    this.#random = createRandom(seed + 1);
  }

  async runStep(step: Step): Promise<void> {
    const { world } = this;
    if (step.type === "submit") this.#submit(step);
    else if (step.type === "advance") await this.advanceMs(step.ms);
    else if (step.type === "kill") {
      world.kill(this.#pickEntry(step.entry), step.withVm);
    } else if (step.type === "restart") {
      this.#restart(this.#pickEntry(step.entry));
    } else if (step.type === "join") {
      world.addEntry(world.dataCentres[step.dataCentre]);
    } else if (step.type === "drain") world.drain(this.#pickEntry(step.entry));
    else if (step.type === "cancel") this.#cancel(step);
    else if (step.type === "cutPlatform") {
      world.cutFromPlatform.add(world.dataCentres[step.dataCentre]);
    } else if (step.type === "healPlatform") {
      world.cutFromPlatform.delete(world.dataCentres[step.dataCentre]);
    } else if (step.type === "partition") {
      world.arePartitioned = step.isPartitioned;
    } else if (step.type === "lose") {
      world.transactionFaults.push(...step.losses);
    } else if (step.type === "endpoint") this.#setEndpointFault(step);
    else if (step.type === "leave") this.#setLeaving(step);
    else await this.#racePatches(step.count);
  }

  /** Ends all faults, then resubmits every request: each must get a final answer. */
  async settle(): Promise<(JobAnswer | undefined)[]> {
    const { world } = this;
    world.heal();
    await this.advanceMs(SETTLE_MS);
    const servingEntries = world.entries.filter((entry) =>
      entry.context.phase === "serving"
    );
    const answers: (JobAnswer | undefined)[] = this.requests.map(() =>
      undefined
    );
    this.requests.forEach((request, index) => {
      const entry = servingEntries[index % servingEntries.length];
      const resubmission = { ...request, deadlineMs: SETTLE_MS / 2 };
      world.submit(entry, resubmission).then((answer) =>
        answers[index] = answer
      );
    });
    await this.advanceMs(SETTLE_MS);
    answers.forEach((answer, index) => this.#checkFinal(answer, index));
    return answers;
  }

  #checkFinal(answer: JobAnswer | undefined, index: number): void {
    const { submissionId } = this.requests[index];
    const isOpen = !answer || answer.status === "pending" ||
      (answer.status === "refused" && !answer.notRun);
    if (!isOpen) return;
    this.world.oracle.violations.push(
      `${submissionId} has no final answer: ${JSON.stringify(answer)}`,
    );
  }

  #pickEntry(index: number): FakeEntry {
    const { entries } = this.world;
    return entries[index % entries.length];
  }

  #submit(step: Step & { type: "submit" }): void {
    const repeated = typeof step.id === "number"
      ? this.requests[step.id % Math.max(1, this.requests.length)]
      : undefined;
    const request = repeated ?? this.#createRequest(step);
    if (!repeated) this.requests.push(request);
    this.world.submit(this.#pickEntry(step.entry), request);
  }

  #createRequest(step: Step & { type: "submit" }): JobRequest {
    const submissionId = this.#createId(step.id);
    return {
      client: step.client,
      submissionId,
      deadlineMs: step.deadlineMs,
      tasks: step.tasks.map((task, index) => ({
        service: "proof",
        body: JSON.stringify({ ...task, value: `${submissionId}-${index}` }),
        unrepeatable: task.unrepeatable,
      })),
    };
  }

  #createId(kind: (Step & { type: "submit" })["id"]): string {
    if (kind === "opaque") return `order-${this.requests.length}`;
    const shiftMs = kind === "old"
      ? -OLD_ID_AGE_MS
      : kind === "future"
      ? FUTURE_ID_OFFSET_MS
      : 0;
    const random = Uint8Array.from(
      { length: 16 },
      () => Math.floor(this.#random() * 256),
    );
    return createId({ msecs: Date.now() + shiftMs, random, seq: 0 });
  }

  #restart(entry: FakeEntry): void {
    const { name } = entry.context;
    const isLatest =
      this.world.entries.findLast((one) => one.context.name === name) === entry;
    if (!isLatest) return;
    this.world.kill(entry);
    this.world.addEntry(entry.dataCentre, name);
  }

  #cancel(step: Step & { type: "cancel" }): void {
    const request = this.requests[step.submission % this.requests.length];
    const entry = this.#pickEntry(step.entry);
    if (request && !entry.isDead) {
      requestCancellation(entry.context, { ...request, hops: 0 });
    }
  }

  #setEndpointFault(step: Step & { type: "endpoint" }): void {
    const endpoint = this.world.endpoints[step.endpoint];
    endpoint.mode = step.mode;
    endpoint.stallMs = step.stallMs;
  }

  #setLeaving(step: Step & { type: "leave" }): void {
    const endpoint = this.world.endpoints[step.endpoint];
    const { leaving } = step;
    endpoint.leavingSinceMs = Infinity;
    this.#patchCount += 1;
    const patch = { endpoints: { [endpoint.id]: { leaving } } };
    this.world.patch(patch, `leave-${this.#patchCount}`).then((version) => {
      const isAccepted = version !== undefined &&
        version === this.world.version;
      if (!leaving || !isAccepted || endpoint.stallMs > 0) return;
      endpoint.leavingSinceMs = Date.now() + LEAVING_GRACE_MS;
    }, () => {});
  }

  async #racePatches(count: number): Promise<void> {
    const base = this.world.version;
    const patches = Array.from({ length: count }, (_, index) => {
      this.#patchCount += 1;
      const patch = {
        policy: { maxQueueMs: 4_000 + this.#patchCount + index },
      };
      return this.world.patch(patch, `race-${this.#patchCount}`, base)
        .catch(() => undefined);
    });
    await this.advanceMs(4_000);
    const accepted = (await Promise.all(patches)).filter((one) =>
      one !== undefined
    );
    if (accepted.length > 1) {
      this.world.oracle.violations.push(
        "two patches with the same base were accepted",
      );
    }
  }
}
