import { startJsonServer, wait } from "./store.mjs";

/** Answer of an unhealthy minion to an order, for `intercept`: it has done nothing. */
export const SHED = "shed";

/** Most ends in one listing. */
const MAX_LISTED_ENDS = 500;

/**
 * Starts a stand-in of a machine that hosts minions, one life after the other.
 * `findTask(name)` tells what a task needs and does: `cpu`, `memMb`, `workMs`,
 * `fails`, the number of its first runs that fail, and `countStart`, which
 * counts a run and returns how many were before it.
 */
export function createMachine(options) {
  const { store, findTask, record, bounds } = options;
  const machine = {
    name: options.name,
    zone: options.zone,
    cpu: options.cpu,
    memMb: options.memMb,
    labels: options.labels,
    service: options.service,
    /** Replaces the answer to a call: `(kind, fields, perform) => reply`. */
    intercept: undefined,
    life: undefined,
    lives: 0,
  };
  /** Every start that was carried out, over all lives. */
  const starts = [];

  async function start({ isDraining = false } = {}) {
    // A minion may start again under the id that it had, and at its address.
    if (!machine.keepsId) machine.lives += 1;
    const port = machine.keepsId ? machine.life.port : 0;
    const id = `${options.name}-${machine.lives}`;
    const born = Date.now();
    const startedMs = performance.now();
    const clockMs = () => Math.floor(performance.now() - startedMs);
    const life = { id, isUp: true, state: isDraining ? "draining" : "ready" };
    const running = new Map();
    const highestRuns = new Map();
    let ends = [];
    let lastEnd = 0;
    let token = 0;
    let leaseEndMs = 0;
    let hasLapsed = true;
    let waiters = [];
    let seq = 0;

    function endRun(name, how) {
      const run = running.get(name);
      if (!run) return;
      clearTimeout(run.timer);
      running.delete(name);
      lastEnd += 1;
      const { start: begun } = run;
      begun.endedMs = performance.now();
      begun.how = how;
      ends.push({ number: lastEnd, name, run: run.run, how, begun });
      record("run ends", { minion: id, task: name, run: run.run, how });
      for (const wake of waiters) wake();
      waiters = [];
    }

    function extendLease(deadlineMs) {
      if (typeof deadlineMs !== "number") return;
      const most = clockMs() + bounds.maxHoldMs;
      leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, most));
      if (leaseEndMs > clockMs()) hasLapsed = false;
    }

    const leaseTimer = setInterval(() => {
      if (hasLapsed || clockMs() <= leaseEndMs) return;
      hasLapsed = true;
      // An end that is taken note of after a lapse doesn't count.
      for (const { begun } of ends) begun.lapsedBefore = true;
      for (const name of [...running.keys()]) endRun(name, "lapsed");
    }, 5);

    const describe = () => ({ clockMs: clockMs(), born });
    const refuse = (reason) => ({
      status: 409,
      body: { ...describe(), reason },
    });

    function startRun(fields) {
      const { task: name, runId, spec, deadlineMs } = fields;
      if (!life.isUp) return "silent";
      if (deadlineMs < clockMs()) return refuse("late");
      const known = running.get(name);
      if (known?.run === runId) return { status: 200, body: describe() };
      if (runId <= (highestRuns.get(name) ?? 0)) {
        extendLease(deadlineMs);
        return refuse("old");
      }
      extendLease(deadlineMs);
      const task = findTask(name);
      const used = [...running.keys()].map(findTask)
        .reduce((sum, one) => sum + one.cpu, 0);
      if (!task || used + task.cpu > machine.cpu) return refuse("room");
      highestRuns.set(name, runId);
      const earlier = task.countStart();
      const begun = {
        name,
        run: runId,
        spec,
        minion: id,
        beganMs: performance.now(),
        token,
      };
      starts.push(begun);
      record("run starts", { minion: id, task: name, run: runId });
      const how = earlier < (task.fails ?? 0) ? "failed" : "done";
      running.set(name, {
        run: runId,
        start: begun,
        sinceMs: clockMs(),
        workMs: task.workMs,
        timer: setTimeout(() => endRun(name, how), task.workMs),
      });
      return { status: 200, body: describe() };
    }

    async function stopRun({ task: name, runId }) {
      highestRuns.set(name, Math.max(runId, highestRuns.get(name) ?? 0));
      if (running.get(name)?.run === runId) {
        setTimeout(() => {
          if (running.get(name)?.run === runId) endRun(name, "stopped");
        }, bounds.stopTimeoutMs / 2);
      }
      await wait(0);
      return { status: 200, body: describe() };
    }

    async function listRuns({ deadlineMs, lastSeen = 0, waitMs = 0 }) {
      extendLease(deadlineMs);
      const nowMs = performance.now();
      for (const { number, begun } of ends) {
        if (number > lastSeen) continue;
        begun.notedMs = nowMs;
      }
      ends = ends.filter(({ number }) => number > lastSeen);
      if (ends.length === 0 && waitMs > 0) {
        await Promise.race([
          new Promise((resolve) => waiters.push(resolve)),
          wait(Math.min(waitMs, 2_000)),
        ]);
      }
      return {
        status: 200,
        body: {
          ...describe(),
          running: [...running].map(([name, { run, sinceMs, workMs }]) => [
            name,
            run,
            "",
            Math.min(99, Math.floor((clockMs() - sinceMs) / workMs * 100)),
            findTask(name)?.cpu ?? 0,
          ]),
          finished: ends.slice(0, MAX_LISTED_ENDS)
            .map(({ number, name, run, how }) => [number, name, run, how, ""]),
        },
      };
    }

    function perform(kind, fields) {
      if (!life.isUp) return "silent";
      const given = Number(fields.fenceToken ?? 0);
      if (given < token) return refuse("fence");
      token = given;
      if (kind === "/run-stop") return stopRun(fields);
      if (kind === "/hold") return listRuns(fields);
      return startRun(fields);
    }

    const server = await startJsonServer(async ({ url, body, headers }) => {
      if (!life.isUp || life.isDark) return "silent";
      const expected = headers["chivegrade-expect-instance"];
      if (expected && expected !== id) return { status: 421 };
      const kind = url.pathname;
      const reply = machine.intercept
        ? await machine.intercept(kind, body, () => perform(kind, body))
        : await perform(kind, body);
      if (life.isDark) return "silent";
      // Every answer with a body has the minion's clock.
      return reply === SHED ? { status: 503, body: describe() } : reply;
    }, port);
    life.port = Number(server.address.split(":")[1]);

    function register() {
      if (!life.isUp || life.isDark) return;
      seq += 1;
      store.put("servers", id, {
        service: machine.service,
        address: server.address,
        zone: machine.zone,
        version: "1",
        slots: 8,
        state: life.state,
        coldLeftMs: 0,
        seq,
        born,
        machine: machine.name,
        freeCapacity: { cpu: machine.cpu, memMb: machine.memMb, gpus: 0 },
        labels: machine.labels,
      });
    }

    const beat = setInterval(register, bounds.heartbeatMs);
    register();

    Object.assign(life, {
      countRuns: () => running.size,
      listRuns: () => [...running.keys()],
      resetAll: server.resetAll,
      stop: () => {
        life.isUp = false;
        clearInterval(beat);
        clearInterval(leaseTimer);
        for (const [name, run] of running) {
          clearTimeout(run.timer);
          run.start.endedMs = performance.now();
          run.start.how = "crashed";
          record("run ends", { minion: id, task: name, how: "crashed" });
        }
        running.clear();
        server.stop();
      },
    });
    machine.life = life;
    record("minion up", { minion: id });
  }

  return Object.assign(machine, {
    starts,
    start,
    /** The minion's process ends; the platform drops its entry after three heartbeats. */
    crash: () => {
      const { life } = machine;
      record("minion crashes", { minion: life.id });
      life.stop();
      setTimeout(
        () => {
          if (!machine.life.isUp || machine.life.id !== life.id) {
            store.remove("servers", life.id);
          }
        },
        3 * bounds.heartbeatMs,
      ).unref();
    },
    /** Cuts the minion off with resets: open connections and new ones. It runs on. */
    cut: () => {
      record("cut", { minion: machine.life.id });
      machine.intercept = () => "reset";
      machine.life.resetAll();
    },
    endCut: () => {
      machine.intercept = undefined;
      record("cut over", { minion: machine.life.id });
    },
    drain: () => {
      const { life } = machine;
      life.state = "draining";
    },
  });
}
