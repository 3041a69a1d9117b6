import { readClock } from "../../src/utils/read_clock.ts";
import { isLeaseValid } from "../../src/decide/own/is_lease_valid.ts";
import type { AttemptOutcome } from "../../src/decide/job/attempt_outcome.ts";
import type { EndpointSender } from "../../src/endpoint/endpoint_sender.ts";
import type { TaskSend } from "../../src/endpoint/task_send.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import type { FakeEntry } from "./fake_entry.ts";
import type { Oracle } from "./oracle.ts";

/** A simulated endpoint. Records starts in the oracle and checks that the sender's lease is valid at each start. */
export class FakeEndpoint {
  /** `loseReply`: tasks run, but the sender gets the outcome `unknown`. */
  mode: "run" | "fail" | "refuse" | "down" | "loseReply" = "run";
  /** Delay between the call of `send` and the first byte sent, as if the sending process were paused, in ms. */
  stallMs = 0;
  /** Wall-clock time from which the endpoint must get no new task, in Unix ms. */
  leavingSinceMs = Infinity;
  #running = 0;

  constructor(
    readonly id: string,
    readonly slots: number,
    readonly oracle: Oracle,
  ) {}

  /** Creates the sender of one entry to this endpoint. */
  createSender(entry: FakeEntry): EndpointSender {
    return {
      send: (task) => this.#send(entry, task),
      cancel: () => {},
      close: () => Promise.resolve(),
    };
  }

  async #send(entry: FakeEntry, task: TaskSend): Promise<AttemptOutcome> {
    await waitMs(1 + this.stallMs);
    if (entry.isDead) return await new Promise(() => {});
    if (this.mode === "down") return { type: "neverSent", message: "down" };
    if (!task.mayStart()) return { type: "neverSent", message: "held back" };
    if (this.mode === "refuse" || this.#running >= this.slots) {
      return { type: "refused", message: "full" };
    }
    return await this.#run(entry, task);
  }

  async #run(entry: FakeEntry, task: TaskSend): Promise<AttemptOutcome> {
    const body = JSON.parse(task.body);
    const start = this.oracle.recordStart(task.taskKey, body.unrepeatable);
    if (Date.now() > this.leavingSinceMs && !entry.isCutOff()) {
      this.oracle.violations.push(`${this.id} got a task while leaving`);
    }
    if (!isLeaseValid(entry.context.state.lease, readClock())) {
      this.oracle.violations.push(`${task.taskKey} started past the lease`);
    }
    this.#running += 1;
    const { mode } = this;
    await waitMs(mode === "fail" ? 1 : body.runMs);
    this.#running -= 1;
    start.ended = mode === "fail" || body.fail ? "failed" : "done";
    if (entry.isDead) return await new Promise(() => {});
    if (mode === "loseReply") {
      start.ended = "unknown";
      return { type: "unknown", message: "connection lost" };
    }
    if (start.ended === "failed") return { type: "failed", message: "failed" };
    return { type: "done", result: JSON.stringify({ ran: body.value }) };
  }
}
