import type { RunEnd } from "../../src/scheduler/run_end.ts";

/** Number of crashes under a task after which as many further starts are forbidden. */
const CRASHES = 3;

type ObservedEnd = RunEnd & {
  endpoint: string;
  atMs: number;
  /** The lease expired or the process ended before the run end was acknowledged, so that no scheduler needs to know of it. */
  isVoid: boolean;
  isAcknowledged: boolean;
};

/** Records what the simulated endpoints do and finds violations of the scheduler's guarantees: no two runs of a task at once, no run of a stored job's task after it was completed or has used up its attempts, and no third start of one under which three endpoints have crashed. */
export class Oracle {
  readonly violations: string[] = [];
  #isKept: (task: string) => boolean;
  #maxAttempts: number;
  #isCrashing: (task: string) => boolean;
  #running = new Map<string, string>();
  #ends: ObservedEnd[] = [];
  #starts: { task: string; atMs: number }[] = [];
  /** When endpoints crashed under each task, in ms. */
  #crashes = new Map<string, number[]>();

  constructor(options: {
    isKept: (task: string) => boolean;
    maxAttempts: number;
    /** Whether the task crashes the endpoints that start it; one that only shared endpoints with such a task may start again as often as it has to. Default: no task does. */
    isCrashing?: (task: string) => boolean;
  }) {
    this.#isKept = options.isKept;
    this.#maxAttempts = options.maxAttempts;
    this.#isCrashing = options.isCrashing ?? (() => false);
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

  /** Records that the endpoint's process crashed while it ran the task. */
  recordCrash(task: string, atMs: number): void {
    this.#crashes.set(task, [...this.#crashes.get(task) ?? [], atMs]);
  }

  countCrashes(task: string): number {
    return this.#crashes.get(task)?.length ?? 0;
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
    return [...this.violations, ...wrongStarts, ...this.#findCrashingStarts()];
  }

  /** Finds stored jobs' tasks that were started as often as is forbidden after their third crash. */
  #findCrashingStarts(): string[] {
    return [...this.#crashes].flatMap(([task, times]) => {
      const thirdMs = times[CRASHES - 1];
      if (thirdMs === undefined || !this.#isKept(task)) return [];
      if (!this.#isCrashing(task)) return [];
      const starts = this.#starts.filter((start) =>
        start.task === task && start.atMs > thirdMs
      );
      return starts.length < CRASHES
        ? []
        : [`${task} started ${starts.length} times after ${CRASHES} crashes`];
    });
  }
}
