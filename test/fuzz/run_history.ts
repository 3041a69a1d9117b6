import { v7 as createId } from "uuid";
import type { JobAnswer } from "../../src/decide/job/job_answer.ts";
import type { JobRequest } from "../../src/decide/job/job_request.ts";
import { requestCancellation } from "../../src/entry/request_cancellation.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import type { FakeEntry } from "./fake_entry.ts";
import type { Step } from "./step.ts";
import { startVirtualTime } from "./virtual_time.ts";
import { World } from "./world.ts";

/** A leaving endpoint may get tasks for this long, in ms. */
const LEAVE_WITHIN_MS = 5_000;
/** Time for leases, takeovers and logs to settle once all troubles end, in ms. */
const SETTLE_MS = 12_000;
const OLD_MS = 30_000;
const FUTURE_MS = 60_000;

/** What came of a history. */
export type HistoryResult = {
  violations: string[];
  /** Final answers of the resubmissions at the end, by submission. */
  answers: (JobAnswer | undefined)[];
  requests: JobRequest[];
  counts: World["oracle"]["counts"];
};

/** Plays a history against the world and checks every promise on the way and at the end. */
export async function runHistory(
  steps: Step[],
  seed: number,
): Promise<HistoryResult> {
  const time = startVirtualTime();
  const world = new World(seed);
  const player = new Player(world, seed, time.advanceMs);
  try {
    world.start();
    await time.advanceMs(2_000);
    for (const step of steps) await player.play(step);
    const answers = await player.settle();
    return {
      violations: world.oracle.violations,
      answers,
      requests: player.requests,
      counts: world.oracle.counts,
    };
  } finally {
    world.stop();
    time.stop();
  }
}

class Player {
  readonly requests: JobRequest[] = [];
  #patches = 0;
  #random: () => number;

  constructor(
    readonly world: World,
    seed: number,
    readonly advanceMs: (ms: number) => Promise<void>,
  ) {
    this.#random = createRandom(seed + 1);
  }

  async play(step: Step): Promise<void> {
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
    } else if (step.type === "split") world.areApart = step.apart;
    else if (step.type === "lose") world.losses.push(...step.losses);
    else if (step.type === "endpoint") this.#change(step);
    else if (step.type === "leave") this.#leave(step);
    else await this.#racePatches(step.count);
  }

  /** Ends all troubles, then asks for every submission again: each must have a final answer. */
  async settle(): Promise<(JobAnswer | undefined)[]> {
    const { world } = this;
    world.heal();
    await this.advanceMs(SETTLE_MS);
    const open = world.entries.filter((entry) =>
      entry.context.phase === "serving"
    );
    const answers: (JobAnswer | undefined)[] = this.requests.map(() =>
      undefined
    );
    this.requests.forEach((request, index) => {
      const entry = open[index % open.length];
      const again = { ...request, deadlineMs: SETTLE_MS / 2 };
      world.submit(entry, again).then((answer) => answers[index] = answer);
    });
    await this.advanceMs(SETTLE_MS);
    answers.forEach((answer, index) => this.#checkFinal(answer, index));
    return answers;
  }

  #checkFinal(answer: JobAnswer | undefined, index: number): void {
    const { submissionId } = this.requests[index];
    const isUnsettled = !answer || answer.status === "pending" ||
      (answer.status === "refused" && !answer.notRun);
    if (!isUnsettled) return;
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
      ? -OLD_MS
      : kind === "future"
      ? FUTURE_MS
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

  #change(step: Step & { type: "endpoint" }): void {
    const endpoint = this.world.endpoints[step.endpoint];
    endpoint.mode = step.mode;
    endpoint.stallMs = step.stallMs;
  }

  #leave(step: Step & { type: "leave" }): void {
    const endpoint = this.world.endpoints[step.endpoint];
    const { leaving } = step;
    endpoint.leavingSinceMs = Infinity;
    this.#patches += 1;
    const patch = { endpoints: { [endpoint.id]: { leaving } } };
    this.world.patch(patch, `leave-${this.#patches}`).then((version) => {
      const isAccepted = version !== undefined &&
        version === this.world.version;
      if (!leaving || !isAccepted || endpoint.stallMs > 0) return;
      endpoint.leavingSinceMs = Date.now() + LEAVE_WITHIN_MS;
    }, () => {});
  }

  async #racePatches(count: number): Promise<void> {
    const base = this.world.version;
    const raced = Array.from({ length: count }, (_, index) => {
      this.#patches += 1;
      const patch = { policy: { maxQueueMs: 4_000 + this.#patches + index } };
      return this.world.patch(patch, `race-${this.#patches}`, base)
        .catch(() => undefined);
    });
    await this.advanceMs(4_000);
    const won = (await Promise.all(raced)).filter((one) => one !== undefined);
    if (won.length > 1) this.world.oracle.violations.push("two patches won");
  }
}
