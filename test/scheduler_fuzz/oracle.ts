import type { RunEnd } from "../../src/scheduler/run_end.ts";

type SeenEnd = RunEnd & {
  endpoint: string;
  atMs: number;
  /** The lease lapsed, or the process ended, before the end was acknowledged: it never counts. */
  isVoid: boolean;
  isAcknowledged: boolean;
};

/** Watches what endpoints do and says which promise was broken. */
export class Oracle {
  readonly violations: string[] = [];
  #isKept: (task: string) => boolean;
  #mostAttempts: number;
  #running = new Map<string, string>();
  #ends: SeenEnd[] = [];
  #starts: { task: string; atMs: number }[] = [];

  constructor(options: {
    isKept: (task: string) => boolean;
    mostAttempts: number;
  }) {
    this.#isKept = options.isKept;
    this.#mostAttempts = options.mostAttempts;
  }

  began(endpoint: string, task: string, nowMs: number): void {
    const other = this.#running.get(task);
    if (other !== undefined) {
      this.violations.push(
        `${nowMs}: ${task} runs at ${other} and ${endpoint}`,
      );
    }
    this.#running.set(task, endpoint);
    this.#starts.push({ task, atMs: nowMs });
  }

  ended(endpoint: string, task: string): void {
    if (this.#running.get(task) === endpoint) this.#running.delete(task);
  }

  listed(endpoint: string, end: RunEnd, atMs: number): void {
    this.#ends.push({
      ...end,
      endpoint,
      atMs,
      isVoid: false,
      isAcknowledged: false,
    });
  }

  acknowledged(endpoint: string, end: RunEnd): void {
    for (const seen of this.#ends) {
      if (seen.endpoint !== endpoint || seen.isVoid) continue;
      if (seen.number === end.number) seen.isAcknowledged = true;
    }
  }

  lapsed(endpoint: string): void {
    this.forgot(endpoint);
  }

  /** The endpoint's ends that were not acknowledged count no more. */
  forgot(endpoint: string): void {
    for (const seen of this.#ends) {
      if (seen.endpoint === endpoint && !seen.isAcknowledged) {
        seen.isVoid = true;
      }
    }
  }

  hasStarted(job: string): boolean {
    return this.#starts.some(({ task }) => task.startsWith(`${job}.`));
  }

  /** Whether a run of the task has ended so. */
  hasEnded(task: string, how: RunEnd["how"]): boolean {
    return this.#ends.some((end) => end.task === task && end.how === how);
  }

  /** Says which starts were wrong, by what became of earlier ends. */
  review(): string[] {
    const wrong = this.#starts.filter(({ task }) => this.#isKept(task))
      .flatMap(({ task, atMs }) => {
        const earlier = this.#ends.filter((end) =>
          end.task === task && end.isAcknowledged && end.atMs <= atMs
        );
        const failed = earlier.filter(({ how }) => how === "failed").length;
        if (earlier.some(({ how }) => how === "done")) {
          return [`${atMs}: ${task} started again though it was done`];
        }
        return failed >= this.#mostAttempts
          ? [`${atMs}: ${task} started after ${failed} failures`]
          : [];
      });
    return [...this.violations, ...wrong];
  }
}
