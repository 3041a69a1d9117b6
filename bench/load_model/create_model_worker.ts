import type { RunEnd } from "../../src/scheduler/run_end.ts";
import type { ModelClock } from "./model_clock.ts";
import type { ModelEndpoint } from "./model_endpoint.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelWorker } from "./model_worker.ts";

/** Highest progress that an active run reports. */
const MAX_PROGRESS = 0.99;

type Run = { job: ModelJob; run: number; beganMs: number; endsMs: number };

/** Creates a simulated endpoint; tasks outside the rack of their data take `remoteFactor` times their time. */
export function createModelWorker(
  clock: ModelClock,
  options: {
    endpoint: ModelEndpoint;
    remoteFactor: number;
    onStart: (job: ModelJob) => void;
    onEnd: () => void;
    /** Called with the job of a run that was stopped and the time for which it ran, in ms. */
    onStop: (job: ModelJob, ranMs: number) => void;
  },
): ModelWorker {
  const { endpoint, remoteFactor } = options;
  const runs = new Map<string, Run>();
  let ended: RunEnd[] = [];
  let lastEndNumber = 0;

  function endRun(
    task: string,
    end: { run: number; how: "done" | "stopped" },
  ): void {
    const run = runs.get(task);
    if (run?.run !== end.run) return;
    runs.delete(task);
    lastEndNumber += 1;
    ended.push({ number: lastEndNumber, task, ...end });
    if (end.how === "stopped") {
      options.onStop(run.job, clock.readNow() - run.beganMs);
    }
    options.onEnd();
  }

  return {
    start: ({ job, index, task, run }) => {
      const { rack } = job.order.steps[0];
      const isRemote = rack !== undefined && !endpoint.labels.includes(rack);
      const factor = isRemote ? remoteFactor : 1;
      const beganMs = clock.readNow();
      const endsMs = beganMs + job.taskMs[index] * factor / endpoint.speed;
      runs.set(task, { job, run, beganMs, endsMs });
      options.onStart(job);
      clock.runAt(endsMs, () => endRun(task, { run, how: "done" }));
    },
    stop: (task, run) => endRun(task, { run, how: "stopped" }),
    stopAll: () => {
      for (const [task, { run }] of runs) endRun(task, { run, how: "stopped" });
    },
    list: () => {
      const running = [...runs].map(([task, { run, beganMs, endsMs }]) => ({
        task,
        run,
        progress: Math.min(
          MAX_PROGRESS,
          (clock.readNow() - beganMs) / (endsMs - beganMs),
        ),
      }));
      const listed = ended;
      ended = [];
      return { running, ended: listed };
    },
  };
}
