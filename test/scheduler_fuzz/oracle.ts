import type { RunEnd } from "../../src/scheduler/run_end.ts";

type ObservedEnd = RunEnd & {
  endpoint: string;
  atMs: number;
  /** The lease expired or the process ended before the run end was acknowledged, so that no scheduler needs to know of it. */
  isVoid: boolean;
  isAcknowledged: boolean;
};

/** Records what the simulated endpoints do and finds violations of the scheduler's guarantees: no two runs of a task at once, no run of a stored job's task after it was completed or has used up its attempts. */
export class Oracle {
  readonly violations: string[] = [];
  #isKept: (task: string) => boolean;
  #maxAttempts: number;
  #running = new Map<string, string>();
  #ends: ObservedEnd[] = [];
  #starts: { task: string; atMs: number }[] = [];

  constructor(options: {
    isKept: (task: string) => boolean;
    maxAttempts: number;
  }) {
    this.#isKept = options.isKept;
    this.#maxAttempts = options.maxAttempts;
  }

  recordStart(endpoint: string, task: string, nowMs: number): void {
    const other = this.#running.get(task);
    if (other !== undefined) {
      this.violations.push(
        `${nowMs}: ${task} runs at ${other} and ${endpoint}`,
      );
    }
    this.#running.set(task, endpoint);
    this.#starts.push({ task, atMs: nowMs });
  }

  recordEnd(endpoint: string, task: string): void {
    if (this.#running.get(task) === endpoint) this.#running.delete(task);
  }

  recordListedEnd(endpoint: string, end: RunEnd, atMs: number): void {
    this.#ends.push({
      ...end,
      endpoint,
      atMs,
      isVoid: false,
      isAcknowledged: false,
    });
  }

  recordAcknowledgement(endpoint: string, end: RunEnd): void {
    for (const seen of this.#ends) {
      if (seen.endpoint !== endpoint || seen.isVoid) continue;
      if (seen.number === end.number) seen.isAcknowledged = true;
    }
  }

  recordLeaseExpiry(endpoint: string): void {
    this.discardUnacknowledgedEnds(endpoint);
  }

  /** Marks the endpoint's unacknowledged run ends as void. */
  discardUnacknowledgedEnds(endpoint: string): void {
    for (const seen of this.#ends) {
      if (seen.endpoint === endpoint && !seen.isAcknowledged) {
        seen.isVoid = true;
      }
    }
  }

  hasStarted(job: string): boolean {
    return this.#starts.some(({ task }) => task.startsWith(`${job}.`));
  }

  /** Whether a run of the task has ended with the outcome `how`. */
  hasEnded(task: string, how: RunEnd["how"]): boolean {
    return this.#ends.some((end) => end.task === task && end.how === how);
  }

  /** Returns all violations, with starts of stored jobs' tasks that acknowledged earlier run ends forbid. */
  findViolations(): string[] {
    const wrongStarts = this.#starts.filter(({ task }) => this.#isKept(task))
      .flatMap(({ task, atMs }) => {
        const earlier = this.#ends.filter((end) =>
          end.task === task && end.isAcknowledged && end.atMs <= atMs
        );
        const failed = earlier.filter(({ how }) => how === "failed").length;
        if (earlier.some(({ how }) => how === "done")) {
          return [`${atMs}: ${task} started again after it was done`];
        }
        return failed >= this.#maxAttempts
          ? [`${atMs}: ${task} started after ${failed} failures`]
          : [];
      });
    return [...this.violations, ...wrongStarts];
  }
}
