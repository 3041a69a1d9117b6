import type { JobAnswer } from "../../src/decide/job/job_answer.ts";

/** One start of a task as an endpoint saw it. */
type Start = { ended?: "done" | "failed" | "unknown" };

/** What the oracle keeps of a submission id. */
type Submission = {
  expected: string[];
  open: number;
  isQuiet: boolean;
  quietBy: string;
  wasComplete: boolean;
};

/** Sees every start and every answer, and says which promise was broken. */
export class Oracle {
  readonly violations: string[] = [];
  readonly counts = {
    starts: 0,
    complete: 0,
    failed: 0,
    refused: 0,
    pending: 0,
  };
  #starts = new Map<string, Start[]>();
  #submissions = new Map<string, Submission>();

  /** A caller sends a submission. */
  recordSubmit(key: string, expected: string[]): void {
    const known = this.#submissions.get(key);
    const submission = known ??
      { expected, open: 0, isQuiet: false, quietBy: "", wasComplete: false };
    submission.open += 1;
    submission.isQuiet = false;
    this.#submissions.set(key, submission);
  }

  /** An endpoint starts a task. */
  recordStart(taskKey: string, unrepeatable: boolean): Start {
    this.counts.starts += 1;
    const starts = this.#starts.get(taskKey) ?? [];
    if (starts.some((start) => start.ended !== "failed")) {
      this.violations.push(`${taskKey} started twice`);
    }
    if (unrepeatable && starts.length > 0) {
      this.violations.push(`unrepeatable ${taskKey} started again`);
    }
    const submission = this.#submissions.get(readJobKey(taskKey));
    if (submission?.isQuiet) {
      this.violations.push(`${taskKey} started after: ${submission.quietBy}`);
    }
    const start: Start = {};
    starts.push(start);
    this.#starts.set(taskKey, starts);
    return start;
  }

  /** A caller gets an answer, or undefined when its connection broke. */
  recordAnswer(key: string, answer: JobAnswer | undefined): void {
    const submission = this.#submissions.get(key);
    if (!submission) return;
    submission.open -= 1;
    if (!answer) return;
    this.counts[answer.status] += 1;
    if (answer.status === "complete") this.#checkComplete(key, answer.results);
    if (answer.status === "refused" && answer.notRun) {
      this.#checkNotRun(key, answer.failure.kind);
    }
    if (answer.status === "failed" && !answer.mayHaveRun) {
      this.#checkNotRun(key, `failed ${answer.failure.kind}`);
    }
  }

  #checkComplete(key: string, results: string[]): void {
    const submission = this.#submissions.get(key) as Submission;
    submission.wasComplete = true;
    if (JSON.stringify(results) !== JSON.stringify(submission.expected)) {
      this.violations.push(`${key} answered ${results}`);
    }
    submission.expected.forEach((_, index) => {
      const starts = this.#starts.get(`${key}/${index}`) ?? [];
      if (!starts.some((start) => start.ended === "done")) {
        this.violations.push(`${key} complete without task ${index}`);
      }
    });
  }

  #checkNotRun(key: string, kind: string): void {
    if (kind === "submissionReused") return;
    const submission = this.#submissions.get(key) as Submission;
    const ran = submission.expected.some((_, index) =>
      this.#starts.has(`${key}/${index}`)
    );
    if (ran) this.violations.push(`${key} said not run (${kind}), but it ran`);
    if (submission.open > 0) return;
    submission.isQuiet = true;
    submission.quietBy = `not run (${kind})`;
  }
}

function readJobKey(taskKey: string): string {
  return taskKey.slice(0, taskKey.lastIndexOf("/"));
}
