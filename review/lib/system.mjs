import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startMinion } from "./minion.mjs";
import { startStore } from "./store.mjs";

const HOST = "layout.example";
const PREFIX = "/proofs/";
const SERVICE = "layout-desk";
const HEARTBEAT_MS = 1_500;
const READY_TIMEOUT_MS = 30_000;
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Polls until `check` holds; returns whether it did in time. */
export async function waitUntil(check, timeoutMs, pollMs = 20) {
  const untilMs = performance.now() + timeoutMs;
  while (!await check()) {
    if (performance.now() > untilMs) return false;
    await wait(pollMs);
  }
  return true;
}

/** Creates the record of a case: a text file that is begun anew by each run. */
export function createRecord(file) {
  const zeroMs = performance.now();
  writeFileSync(file, "");
  let lines = [];
  const flush = () => {
    if (lines.length > 0) appendFileSync(file, lines.join(""));
    lines = [];
  };
  setInterval(flush, 200).unref();
  process.on("exit", flush);
  return (text) => {
    lines.push(`${(performance.now() - zeroMs).toFixed(0)} ms ${text}\n`);
  };
}

/** Creates a job's id: 16 hexadecimal digits. */
export function createId(index) {
  return (0x5c0e_7a21_0000n + BigInt(index)).toString(16).padStart(16, "0");
}

/** Whether a process could listen on the port now. */
function isFree(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.on("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

const usedPorts = new Set();
/** All processes that were started, also by a start that has not finished. */
const children = [];

/** Finds free ports below the ephemeral ones, of which an outgoing connection could take one before the process listens on it. */
async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (usedPorts.has(port) || !await isFree(port)) continue;
    usedPorts.add(port);
    ports.push(port);
  }
  return ports;
}

function formatSettings({ name, zone, ports, storeAddress }) {
  const [front, ready, control, peer] = ports;
  return `nodeName = "${name}"
role = "dispatcher"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "${zone}"
region = "ie-main"
internalPorts = [${peer}, ${peer}]
bootstrap = true
heartbeatMs = ${HEARTBEAT_MS}
orders = "dispatch"
[listenAddrs]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
control = "127.0.0.1:${control}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
maxHoldMs = 1000
stopTimeoutMs = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 1.5
leaseMs = 3000
retryMs = 1300
[platform]
address = "${storeAddress}"
form = "table"
writesPerS = 600
readsPerS = 2000
txnMs = 3.0
partitionWritesS = 300
rowBytes = 65536
across = true
retentionS = 20
`;
}

/**
 * Starts the store, the minions and one process of the program for each VM,
 * with the command of the deploy file, and resolves once all are ready.
 */
export async function startSystem({ record, zones, minions }) {
  const folder = mkdtempSync(join(tmpdir(), "chivegrade-review-"));
  const jobs = new Map();
  const store = await startStore(record);
  const readTask = (task) => {
    const [id, , step] = task.split(".");
    const job = jobs.get(id);
    const { cpu = 0, memMb = 0 } = job.steps[Number(step)];
    return { cpu, memMb, ...JSON.parse(job.spec) };
  };
  const started = [];
  for (const { id, zone, labels, cpu, memMb } of minions) {
    const minion = await startMinion({ id, cpu, memMb, readTask, record });
    const row = {
      service: SERVICE,
      address: minion.address,
      zone,
      version: "1",
      slots: 8,
      state: "ready",
      coldLeftMs: 0,
      freeCapacity: { cpu, memMb, gpus: 0 },
      labels,
      born: Date.now(),
    };
    started.push(Object.assign(minion, { zone, labels, row, seq: 0 }));
  }
  const beat = () => {
    if (store.isDown) return;
    for (const minion of started) {
      if (!minion.isAlive()) continue;
      minion.seq += 1;
      store.put("servers", minion.id, { ...minion.row, seq: minion.seq });
    }
  };
  beat();
  const beatTimer = setInterval(beat, HEARTBEAT_MS);
  store.put("op", "config", {
    version: 1,
    routes: [{
      name: "proofs",
      host: HOST,
      pathPrefix: PREFIX,
      service: SERVICE,
      timeoutMs: 1_500,
      priority: 0,
      maxAttempts: 3,
      stretch: 1.6,
      latencySloMs: 60,
    }],
    services: [{ name: SERVICE, enforcesCapacity: true }],
    limits: { maxBodyBytes: 262_144 },
  });

  const vms = [];
  for (const [index, zone] of zones.entries()) {
    const name = `edge-${zone}-${index + 1}`;
    const ports = await findPorts(5);
    const file = join(folder, `${name}.toml`);
    writeFileSync(
      file,
      formatSettings({ name, zone, ports, storeAddress: store.address }),
    );
    const log = openSync(join(folder, `${name}.log`), "a");
    const words = [
      "--max-old-space-size=160",
      "target/chivegrade.cjs",
      "--metrics-port",
      String(ports[4]),
      ...(process.env.REVIEW_LOGS ? ["--logs", process.env.REVIEW_LOGS] : []),
    ];
    const child = spawn(process.execPath, words, {
      stdio: ["ignore", log, log],
      env: { PATH: process.env.PATH, CHIVEGRADE_NODE_FILE: file },
    });
    children.push(child);
    const vm = { name, zone, child, port: ports[0], readyPort: ports[1] };
    child.on("exit", (code, signal) => {
      vm.hasExited = true;
      record(`${name}: the process ends (${signal ?? code})`);
    });
    vms.push(vm);
  }

  const system = {
    store,
    minions: started,
    vms,
    folder,
    /** The VM that holds the scheduler role of a group. */
    findScheduler: (key = "scheduler") => {
      const row = store.read("chivegrade", key);
      return vms.find(({ name }) => name === row?.vm);
    },
    send: (vm, call) => sendCall(vm, call, { jobs, record }),
    expectJob: (id, body) => jobs.set(id, body),
    /** Every start that a minion carried out. */
    listStarts: () => started.flatMap(({ starts }) => starts),
    stop: () => {
      clearInterval(beatTimer);
      for (const { child } of vms) child.kill("SIGKILL");
      for (const minion of started) if (minion.isAlive()) minion.stop();
      store.stop();
      if (process.env.REVIEW_LOGS) console.log(`logs are in ${folder}`);
      else rmSync(folder, { recursive: true, force: true });
    },
  };
  const isReady = async ({ readyPort }) =>
    (await call({ port: readyPort, path: "/ready" })).status === 200;
  const areReady = async () =>
    (await Promise.all(vms.map(isReady))).every(Boolean);
  if (!await waitUntil(areReady, READY_TIMEOUT_MS, 100)) {
    system.stop();
    throw new Error("the VMs are not ready in time");
  }
  // All minions have been listed, and the traffic of a day begins after a lead as well.
  await wait(3_000);
  return system;
}

/** Sends one request on a connection of its own; resolves with status 0 when it gets no answer. */
function call({ port, method = "GET", path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = request({
      host: "127.0.0.1",
      port,
      method,
      path,
      agent: false,
      headers: {
        host: HOST,
        ...headers,
        ...(text === undefined ? {} : {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(text),
        }),
      },
    }, async (response) => {
      let received = "";
      try {
        for await (const chunk of response) received += chunk;
      } catch {
        resolve({ status: 0 });
        return;
      }
      resolve({ status: response.statusCode, text: received });
    });
    outgoing.on("error", () => resolve({ status: 0 }));
    if (timeoutMs) {
      outgoing.setTimeout(timeoutMs, () => outgoing.destroy());
    }
    outgoing.end(text);
  });
}

async function sendCall(vm, options, { jobs, record }) {
  const { method = "GET", id = "", body, deadlineMs = 1_500 } = options;
  if (body) jobs.set(id, body);
  record(`client: ${method} ${id} to ${vm.name}`);
  const reply = await call({
    port: vm.port,
    method,
    path: `${PREFIX}${id}`,
    body,
    headers: { "chivegrade-deadline-ms": String(deadlineMs) },
    timeoutMs: options.timeoutMs ?? deadlineMs + 500,
  });
  const shown = reply.status === 0 ? "no answer" : reply.status;
  record(`client: ${method} ${id}: ${shown} ${reply.text ?? ""}`);
  return reply;
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(play) {
  const record = createRecord(process.argv[2]);
  const isTrouble = process.env.TROUBLE !== "0";
  record(`the case is played ${isTrouble ? "with" : "without"} disruption`);
  let code = 2;
  let system;
  const start = async (options) => {
    system = await startSystem({ record, ...options });
    return system;
  };
  const abort = (reason) => {
    record(`the case is ended: ${reason}`);
    for (const child of children) child.kill("SIGKILL");
    process.exit(2);
  };
  const limit = setTimeout(() => abort("it took too long"), 115_000);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.on(signal, () => abort(signal));
  }
  try {
    const found = await play({ start, record, isTrouble });
    for (const line of found.broken) record(`BROKEN ${line}`);
    code = found.broken.length > 0 ? 1 : 0;
    const verdict = found.broken.length > 0
      ? `the rule is broken ${found.broken.length} times`
      : "the rule holds";
    record(`${verdict}; ${found.summary}`);
    console.log(`${verdict}; ${found.summary}`);
    for (const line of found.broken.slice(0, 5)) console.log(line);
  } catch (thrown) {
    record(`the case could not run: ${thrown.stack}`);
    console.log(`the case could not run: ${thrown.message}`);
  }
  clearTimeout(limit);
  system?.stop();
  await wait(100);
  process.exit(code);
}
