import type { JobAnswer } from "../../src/decide/job/job_answer.ts";

/** A start of a task at an endpoint and how the run ended, once it has. */
type Start = { ended?: "done" | "failed" | "unknown" };

/** Record of the submissions with one id. `open` counts those that are not answered; `mustNotStart` is set once an answer says that no task has run or will run. */
type Submission = {
  expected: string[];
  open: number;
  mustNotStart: boolean;
  mustNotStartReason: string;
  wasComplete: boolean;
};

/** Records every start and every answer and checks the dispatcher's guarantees: no task runs twice, results are complete, and no task of a job runs that was reported as not run. */
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

  /** Records that a caller sends a submission. */
  recordSubmit(key: string, expected: string[]): void {
    const known = this.#submissions.get(key);
    const submission = known ??
      {
        expected,
        open: 0,
        mustNotStart: false,
        mustNotStartReason: "",
        wasComplete: false,
      };
    submission.open += 1;
    submission.mustNotStart = false;
    this.#submissions.set(key, submission);
  }

  /** Records that an endpoint starts a task; the caller sets `ended` of the returned start. */
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
    if (submission?.mustNotStart) {
      this.violations.push(
        `${taskKey} started after: ${submission.mustNotStartReason}`,
      );
    }
    const start: Start = {};
    starts.push(start);
    this.#starts.set(taskKey, starts);
    return start;
  }

  /** Records a caller's answer, or undefined when the connection broke. */
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
        this.violations.push(
          `${key} is complete but no run completed task ${index}`,
        );
      }
    });
  }

  #checkNotRun(key: string, kind: string): void {
    if (kind === "submissionReused") return;
    const submission = this.#submissions.get(key) as Submission;
    const hasRun = submission.expected.some((_, index) =>
      this.#starts.has(`${key}/${index}`)
    );
    if (hasRun) {
      this.violations.push(
        `${key} was answered as not run (${kind}), but a task has run`,
      );
    }
    if (submission.open > 0) return;
    submission.mustNotStart = true;
    submission.mustNotStartReason = `not run (${kind})`;
  }
}

function readJobKey(taskKey: string): string {
  return taskKey.slice(0, taskKey.lastIndexOf("/"));
}
