import { waitMs } from "../../src/utils/wait_ms.ts";
import { startJsonServer } from "./start_json_server.ts";

type Run = {
  run: number;
  beganMs: number;
  timer: ReturnType<typeof setTimeout>;
};
/** A run end as an endpoint lists it. The product does not read `text`. */
type RunEnd = [
  endNumber: number,
  task: string,
  runId: number,
  how: string,
  text: string,
];
type Faults = {
  /** No request is answered, and none is carried out. */
  isSilent: boolean;
  /** Start requests are not answered, and are carried out after this delay, in ms. */
  lateStartMs?: number;
  /** Delay before an order with an earlier fencing token is refused, in ms. */
  lateRefusalMs?: number;
  /** Every task fails. */
  failsAll: boolean;
  /** Starts what does not fit as well. */
  isUnguarded: boolean;
};

/** One start that was carried out. */
type StartRecord = {
  task: string;
  run: number;
  beganMs: number;
  endedMs?: number;
  /** How the run ended, as in its run end. */
  how?: string;
  /** Whether the start exceeded the capacity. */
  isOverCapacity: boolean;
};

/** `how` of a run end that a stop order caused. */
const STOPPED = "stopped";
/** Most run ends that one listing has. */
const MAX_LISTED_ENDS = 500;
/** Maximum progress listed for a run that has not ended, in per cent. */
const MAX_LISTED_PERCENT = 99;

/** Starts a stand-in of an endpoint: starts, stops and lists runs under a lease and fencing tokens. */
export async function startWorker(options: {
  id: string;
  runMs: number;
  cpu: number;
}): Promise<{
  address: string;
  faults: Faults;
  /** Changes the capacity, in thousandths of a core; what runs goes on. */
  setCpu(cpu: number): void;
  /** Every start that was carried out, with times on the clock of this process. */
  history: StartRecord[];
  stop(): Promise<void>;
}> {
  const running = new Map<string, Run>();
  const highestRunIds = new Map<string, number>();
  const history: Awaited<ReturnType<typeof startWorker>>["history"] = [];
  const faults: Faults = {
    isSilent: false,
    failsAll: false,
    isUnguarded: false,
  };
  let { cpu } = options;
  const processStartMs = Date.now();
  let runEnds: RunEnd[] = [];
  let lastEndNumber = 0;
  let highestToken = 0;
  let leaseEndMs = 0;
  let waitingListings: (() => void)[] = [];
  const clockMs = () => Math.round(performance.now());

  function endRun(task: string, how: string): void {
    const run = running.get(task);
    if (!run) return;
    clearTimeout(run.timer);
    running.delete(task);
    const record = history.find((start) =>
      start.task === task && start.run === run.run
    );
    if (record) Object.assign(record, { endedMs: clockMs(), how });
    lastEndNumber += 1;
    runEnds.push([lastEndNumber, task, run.run, how, ""]);
    for (const resolve of waitingListings) resolve();
    waitingListings = [];
  }

  /** Extends the lease to a deadline, by at most 1 s from now. */
  function renewLease(deadlineMs: unknown): void {
    if (typeof deadlineMs !== "number") return;
    leaseEndMs = Math.max(
      leaseEndMs,
      Math.min(deadlineMs, clockMs() + 1_000),
    );
  }

  const leaseTimer = setInterval(() => {
    if (clockMs() <= leaseEndMs) return;
    for (const task of [...running.keys()]) endRun(task, "lapsed");
  }, 5);

  function startRun(body: Record<string, unknown>) {
    const { task, runId, deadlineMs } = body as {
      task: string;
      runId: number;
      deadlineMs: number;
    };
    if (deadlineMs < clockMs()) return refuse("late");
    const active = running.get(task);
    if (active?.run === runId) return { status: 200, body: describeProcess() };
    if (runId <= (highestRunIds.get(task) ?? 0)) return refuse("old");
    renewLease(deadlineMs);
    // Every run is taken to use 6,800 millicores.
    const isOverCapacity = (running.size + 1) * 6_800 > cpu;
    if (isOverCapacity && !faults.isUnguarded) return refuse("room");
    highestRunIds.set(task, runId);
    const beganMs = clockMs();
    history.push({ task, run: runId, beganMs, isOverCapacity });
    const how = faults.failsAll ? "failed" : "done";
    const timer = setTimeout(() => endRun(task, how), options.runMs);
    running.set(task, { run: runId, beganMs, timer });
    return { status: 200, body: describeProcess() };
  }

  function stopRun(body: Record<string, unknown>) {
    const { task, runId } = body as { task: string; runId: number };
    highestRunIds.set(task, Math.max(runId, highestRunIds.get(task) ?? 0));
    if (running.get(task)?.run === runId) endRun(task, STOPPED);
    return { status: 200, body: describeProcess() };
  }

  async function listRuns(body: Record<string, unknown>) {
    renewLease(body.deadlineMs);
    const lastSeen = Number(body.lastSeen);
    runEnds = runEnds.filter(([endNumber]) => endNumber > lastSeen);
    const waitMs = Number(body.waitMs ?? 0);
    if (runEnds.length === 0 && waitMs > 0) {
      await new Promise<void>((resolve) => {
        waitingListings.push(resolve);
        setTimeout(resolve, waitMs);
      });
    }
    const listed = [...running].map(([task, { run, beganMs }]) => [
      task,
      run,
      "",
      computePercent(beganMs),
    ]);
    return {
      status: 200,
      body: {
        ...describeProcess(),
        running: listed,
        finished: runEnds.slice(0, MAX_LISTED_ENDS),
      },
    };
  }

  function computePercent(beganMs: number): number {
    const fraction = (clockMs() - beganMs) / options.runMs;
    return Math.min(MAX_LISTED_PERCENT, Math.floor(fraction * 100));
  }

  function refuse(reason: string) {
    return { status: 409, body: { ...describeProcess(), reason } };
  }

  function describeProcess() {
    return { clockMs: clockMs(), born: processStartMs };
  }

  const server = await startJsonServer(async ({ url, body, headers }) => {
    if (faults.isSilent) return "silent";
    if (headers.get("chivegrade-expect-instance") !== options.id) {
      return { status: 421 };
    }
    const fields = body as Record<string, unknown>;
    const requestToken = Number(fields.fenceToken ?? 0);
    if (requestToken < highestToken) {
      await waitMs(faults.lateRefusalMs ?? 0);
      return refuse("fence");
    }
    highestToken = requestToken;
    if (url.pathname === "/run-stop") return stopRun(fields);
    if (url.pathname === "/hold") return listRuns(fields);
    if (faults.lateStartMs !== undefined) {
      setTimeout(() => startRun(fields), faults.lateStartMs);
      return "silent";
    }
    return startRun(fields);
  });

  return {
    address: server.address,
    faults,
    setCpu: (to) => {
      cpu = to;
    },
    history,
    stop: () => {
      clearInterval(leaseTimer);
      for (const { timer } of running.values()) clearTimeout(timer);
      return server.stop();
    },
  };
}
