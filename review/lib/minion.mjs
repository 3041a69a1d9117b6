import { startJsonServer } from "./json_server.mjs";

/** Longest lease, in ms, and most ends that one answer lists. */
const MAX_HOLD_MS = 1_000;
const MAX_LISTED_ENDS = 500;
const LEASE_CHECK_MS = 5;

/**
 * Starts a stand-in of a minion. `readTask` gives what a task takes and does:
 * `{ cpu, memMb, ms, how }`. `starts` lists every start that was carried out.
 */
export async function startMinion({ id, cpu, memMb, readTask, record }) {
  const born = Date.now();
  const zeroMs = performance.now();
  const running = new Map();
  const highestRuns = new Map();
  const starts = [];
  let finished = [];
  let lastNumber = 0;
  let highestToken = 0;
  let leaseEndMs = 0;
  let hasLapsed = true;
  let lapses = 0;
  let waiting = [];
  let isAlive = true;
  const clockMs = () => Math.floor(performance.now() - zeroMs);
  const describe = () => ({ clockMs: clockMs(), born });

  function endRun(task, how) {
    const run = running.get(task);
    if (!run) return;
    clearTimeout(run.timer);
    running.delete(task);
    lastNumber += 1;
    finished.push([lastNumber, task, run.runId, how, ""]);
    Object.assign(run.start, {
      endedMs: performance.now(),
      how,
      number: lastNumber,
      lapsesAtEnd: lapses,
    });
    record(`${id}: ${task} run ${run.runId} ends ${how}`);
    for (const resolve of waiting) resolve();
    waiting = [];
  }

  function renew(deadlineMs) {
    if (typeof deadlineMs !== "number") return;
    const endMs = Math.min(deadlineMs, clockMs() + MAX_HOLD_MS);
    leaseEndMs = Math.max(leaseEndMs, endMs);
    if (leaseEndMs > clockMs()) hasLapsed = false;
  }

  function checkLease() {
    if (hasLapsed || clockMs() <= leaseEndMs) return;
    hasLapsed = true;
    lapses += 1;
    record(`${id}: the lease lapses`);
    for (const task of [...running.keys()]) endRun(task, "lapsed");
  }

  function refuse(reason) {
    return { status: 409, body: { ...describe(), reason } };
  }

  function start({ task, runId, deadlineMs }) {
    if (running.get(task)?.runId === runId) {
      renew(deadlineMs);
      return { status: 200, body: describe() };
    }
    if (runId <= (highestRuns.get(task) ?? 0)) {
      renew(deadlineMs);
      return refuse("old");
    }
    if (deadlineMs <= clockMs()) return refuse("late");
    renew(deadlineMs);
    const needs = readTask(task);
    let usedCpu = needs.cpu;
    let usedMb = needs.memMb;
    for (const run of running.values()) {
      usedCpu += run.needs.cpu;
      usedMb += run.needs.memMb;
    }
    if (usedCpu > cpu || usedMb > memMb) return refuse("room");
    const entry = { minion: id, task, runId, beganMs: performance.now() };
    starts.push(entry);
    highestRuns.set(task, runId);
    record(`${id}: ${task} run ${runId} starts`);
    running.set(task, {
      runId,
      needs,
      start: entry,
      timer: setTimeout(() => endRun(task, needs.how), needs.ms),
    });
    return { status: 200, body: describe() };
  }

  function stop({ task, runId }) {
    highestRuns.set(task, Math.max(runId, highestRuns.get(task) ?? 0));
    if (running.get(task)?.runId === runId) endRun(task, "stopped");
    return { status: 200, body: describe() };
  }

  /** Notes on each start whether its end was taken note of, and whether the lease lapsed before that. */
  function takeNote(lastSeen) {
    const seen = finished.filter(([number]) => number <= lastSeen);
    finished = finished.filter(([number]) => number > lastSeen);
    for (const [number] of seen) {
      const entry = starts.find((one) => one.number === number);
      Object.assign(entry, {
        notedMs: performance.now(),
        hasLapsedBefore: entry.lapsesAtEnd !== lapses,
      });
    }
  }

  async function hold({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
    renew(deadlineMs);
    takeNote(lastSeen);
    if (finished.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        waiting.push(resolve);
        setTimeout(resolve, waitMs);
      });
    }
    const listed = [...running].map(([task, { runId, needs, start }]) => {
      const share = (performance.now() - start.beganMs) / needs.ms;
      const percent = Math.min(99, Math.floor(share * 100));
      return [task, runId, "", percent, needs.cpu];
    });
    const ends = finished.slice(0, MAX_LISTED_ENDS);
    return {
      status: 200,
      body: { ...describe(), running: listed, finished: ends },
    };
  }

  const server = await startJsonServer(({ url, body, headers }) => {
    checkLease();
    if (headers["chivegrade-expect-instance"] !== id) return { status: 421 };
    const token = body.fenceToken ?? 0;
    if (token < highestToken) return refuse("fence");
    highestToken = token;
    if (url.pathname === "/run-start") return start(body);
    if (url.pathname === "/run-stop") return stop(body);
    if (url.pathname === "/hold") return hold(body);
    return { status: 404 };
  });
  const timer = setInterval(checkLease, LEASE_CHECK_MS);

  return {
    id,
    cpu,
    starts,
    address: server.address,
    isAlive: () => isAlive,
    countRunning: () => running.size,
    countEnds: () => finished.length,
    countUsedCpu: () =>
      [...running.values()].reduce((sum, { needs }) => sum + needs.cpu, 0),
    /** Ends the minion's process: everything that runs there ends with it. */
    stop: () => {
      isAlive = false;
      clearInterval(timer);
      for (const { timer: runTimer } of running.values()) {
        clearTimeout(runTimer);
      }
      running.clear();
      server.stop();
    },
  };
}
