import { spawn } from "node:child_process";
import { connect } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startJsonServer } from "./json_server.mjs";

const PROXY = join(dirname(fileURLToPath(import.meta.url)), "proxy.mjs");
/** More than the queue of new connections of a stopped proxy holds. */
const FILLERS = 6;

/** Longest lease, in ms. */
const MAX_HOLD_MS = 1_000;
/** Time that a stop takes, in ms. */
const STOP_MS = 20;
const MAX_LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_500;
/** How long a minion goes on while it drains, in ms. */
const DRAIN_MS = 2_500;

/**
 * Starts a stand-in of a minion that guards its capacity. `findTask` returns
 * what a task takes: `cpu`, `memMb`, `gpus` and `workMs`. `crash` ends the
 * process that it stands for: connections break, new ones are refused, and
 * everything is forgotten; `restart` starts another one under the same id and
 * address.
 */
export async function startMinion(options) {
  const { id, zone, labels, capacity, store, findTask, record } = options;
  /** Whether the minion is cut off from all VMs and the store. */
  let isCut = false;
  let life = createLife();
  const receive = (request) => life.handle(request);
  let server = await startJsonServer(receive);
  const { port } = server;
  const proxy = options.hasProxy ? await startProxy(port) : undefined;
  const address = proxy?.address ?? server.address;
  let seq = 0;
  let silentBeats = 0;
  let state = "ready";

  function createLife() {
    const startedMs = performance.now();
    const born = Date.now();
    const running = new Map();
    const highestRuns = new Map();
    let ends = [];
    let endCount = 0;
    let fence = 0;
    let leaseEndMs = 0;
    let hasLease = false;
    /** How often the lease has lapsed. */
    let lapses = 0;
    let waiting = [];
    let isOver = false;
    const clock = () => Math.floor(performance.now() - startedMs);
    const describe = () => ({ clockMs: clock(), born });

    function endRun(task, how) {
      const run = running.get(task);
      if (!run || isOver) return;
      clearTimeout(run.timer);
      running.delete(task);
      endCount += 1;
      ends.push([endCount, task, run.runId, how, "", lapses]);
      record("ended", { minion: id, task, run: runIdOf(run), how });
      for (const resolve of waiting) resolve();
      waiting = [];
    }
    const runIdOf = ({ runId }) => runId;

    function reviewLease() {
      if (clock() <= leaseEndMs) {
        hasLease = true;
        return;
      }
      if (hasLease) lapses += 1;
      hasLease = false;
      for (const task of [...running.keys()]) endRun(task, "lapsed");
    }
    const leaseTimer = setInterval(reviewLease, 5);

    function extendLease(deadlineMs) {
      if (typeof deadlineMs !== "number") return;
      const most = Math.min(deadlineMs, clock() + MAX_HOLD_MS);
      leaseEndMs = Math.max(leaseEndMs, most);
    }

    function fits(needs) {
      return ["cpu", "memMb", "gpus"].every((name) => {
        let used = needs[name] ?? 0;
        for (const { task } of running.values()) {
          used += findTask(task)?.[name] ?? 0;
        }
        return used <= (capacity[name] ?? 0);
      });
    }

    function refuse(reason) {
      return { status: 409, body: { ...describe(), reason } };
    }

    function start({ task, runId, deadlineMs }) {
      const known = running.get(task);
      if (known?.runId === runId) return { status: 200, body: describe() };
      if (deadlineMs < clock()) return refuse("late");
      extendLease(deadlineMs);
      if (runId <= (highestRuns.get(task) ?? 0)) return refuse("old");
      // Two runs of one task would be kept under one name here.
      if (known) throw new Error(`${id}: a second run of ${task}`);
      const needs = findTask(task);
      if (!needs) {
        record("unasked", { minion: id, task });
        return { status: 400, body: describe() };
      }
      if (!fits(needs)) return refuse("room");
      highestRuns.set(task, runId);
      const timer = setTimeout(() => endRun(task, "done"), needs.workMs);
      const beganMs = clock();
      running.set(task, { task, runId, timer, beganMs, workMs: needs.workMs });
      record("started", { minion: id, task, run: runId });
      return { status: 200, body: describe() };
    }

    function stop({ task, runId }) {
      const highest = highestRuns.get(task) ?? 0;
      highestRuns.set(task, Math.max(highest, runId));
      if (running.get(task)?.runId === runId) {
        setTimeout(() => {
          if (running.get(task)?.runId === runId) endRun(task, "stopped");
        }, STOP_MS);
      }
      return { status: 200, body: describe() };
    }

    async function hold({ lastSeen = 0, deadlineMs, waitMs = 0 }) {
      reviewLease();
      for (const [number, task, run, how, , before] of ends) {
        if (number > lastSeen) break;
        const hasLapsed = !hasLease || lapses !== before;
        record("noted", { minion: id, task, run, how, hasLapsed });
      }
      extendLease(deadlineMs);
      ends = ends.filter(([number]) => number > lastSeen);
      if (ends.length === 0 && waitMs > 0) {
        await new Promise((resolve) => {
          waiting.push(resolve);
          setTimeout(resolve, waitMs);
        });
      }
      const list = [...running.values()].map(
        ({ task, runId, beganMs, workMs }) => [
          task,
          runId,
          "",
          Math.min(99, Math.floor(100 * (clock() - beganMs) / workMs)),
        ],
      );
      const finished = ends.slice(0, MAX_LISTED_ENDS)
        .map((one) => one.slice(0, 5));
      return { status: 200, body: { ...describe(), running: list, finished } };
    }

    function handle({ url, headers, body }) {
      if (headers["chivegrade-expect-instance"] !== id) return { status: 421 };
      const token = Number(body?.fenceToken ?? 0);
      if (token < fence) return refuse("fence");
      fence = token;
      if (url.pathname === "/run-start") return start(body);
      if (url.pathname === "/run-stop") return stop(body);
      if (url.pathname === "/hold") return hold(body);
      return { status: 404 };
    }

    function end() {
      isOver = true;
      clearInterval(leaseTimer);
      for (const { task, runId, timer } of running.values()) {
        clearTimeout(timer);
        record("ended", { minion: id, task, run: runId, how: "crash" });
      }
      running.clear();
      for (const resolve of waiting) resolve();
    }

    return { handle, end, born, running };
  }

  function sendHeartbeat() {
    if (store.faults.mode !== "up") return;
    if (!server || isCut) {
      silentBeats += 1;
      if (silentBeats === 3) store.remove("servers", id);
      return;
    }
    silentBeats = 0;
    seq += 1;
    store.put("servers", id, {
      service: options.service,
      address,
      zone,
      version: "1",
      slots: 8,
      state,
      ...(state === "draining" && { remainingMs: DRAIN_MS }),
      coldLeftMs: 0,
      seq,
      born: life.born,
      freeCapacity: capacity,
      labels,
    });
  }
  const heartbeat = setInterval(sendHeartbeat, HEARTBEAT_MS);
  sendHeartbeat();

  async function leave() {
    record("draining", { minion: id });
    state = "draining";
    sendHeartbeat();
    await new Promise((resolve) => setTimeout(resolve, DRAIN_MS));
    record("left", { minion: id });
    clearInterval(heartbeat);
    store.remove("servers", id);
    life.end();
    const ended = server;
    server = undefined;
    await ended?.stop();
  }

  async function crash() {
    record("crashed", { minion: id });
    life.end();
    const ended = server;
    server = undefined;
    await ended?.stop();
  }

  return {
    id,
    zone,
    labels,
    isUp: () => server !== undefined,
    /** Cuts the minion off, or ends that; what runs there goes on. */
    setCut: (next) => {
      isCut = next;
      proxy.setCut(next);
    },
    listRunning: () => [...life.running.values()],
    /** Drains, goes on for a while, and then leaves for good. */
    leave,
    crash,
    restart: async () => {
      life = createLife();
      server = await startJsonServer(receive, port);
      record("restarted", { minion: id });
      sendHeartbeat();
    },
    stop: async () => {
      clearInterval(heartbeat);
      life.end();
      proxy?.stop();
      await server?.stop();
    },
  };
}

/** Starts the proxy in front of a minion. While it cuts, open connections are silent and new ones hang. */
async function startProxy(port) {
  const child = spawn(process.execPath, [PROXY, String(port)], {
    stdio: ["pipe", "pipe", "inherit"],
  });
  const text = await new Promise((resolve) =>
    child.stdout.once("data", resolve)
  );
  const proxyPort = Number(String(text).trim());
  let fillers = [];
  return {
    address: `127.0.0.1:${proxyPort}`,
    setCut: (isCut) => {
      if (isCut) {
        child.kill("SIGSTOP");
        fillers = Array.from(
          { length: FILLERS },
          () => connect(proxyPort, "127.0.0.1").on("error", () => {}),
        );
        return;
      }
      for (const filler of fillers) filler.destroy();
      fillers = [];
      child.kill("SIGCONT");
    },
    stop: () => child.kill("SIGKILL"),
  };
}
