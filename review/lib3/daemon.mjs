import { spawn } from "node:child_process";
import { createServer } from "node:net";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { startLink } from "./link.mjs";

/** Limits of the small deployment's machines. */
const SMALL_LIMITS = {
  cpuShare: 0.675,
  memoryMb: 350,
  maxFds: 4_100,
  linkMbps: 1_000,
};

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Reads the command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** Finds free ports below the range of outgoing connections. */
async function findPorts(count, used) {
  const ports = [];
  let port = 12_000 + (process.pid * 37) % 16_000;
  while (ports.length < count) {
    port += 1;
    if (used.has(port)) continue;
    const isFree = await new Promise((resolve) => {
      const server = createServer();
      server.on("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
    if (!isFree) continue;
    used.add(port);
    ports.push(port);
  }
  return ports;
}

/** Formats the settings file of a daemon in the platform's format. */
function formatSettings(at) {
  const { name, zone, zones, ports, storeAddress, bounds, seeds, limits } = at;
  const lines = [
    `nodeName = "${name}"`,
    `role = "dispatcher"`,
    `machineClass = "edge"`,
    `serves = ["edge"]`,
    `ip = "127.0.0.1"`,
    `zone = "${zone}"`,
    `region = "ie-main"`,
    `internalPorts = [${ports.peer},${ports.peer}]`,
    `seeds = ${JSON.stringify(seeds)}`,
    `bootstrap = ${at.bootstrap}`,
    `faultCounted = false`,
    `discovery = "platform"`,
    `entry = "vip"`,
    `heartbeatMs = ${bounds.heartbeatMs}`,
    `contracts = ["base","drain","config","cost","recover","sched","platform"]`,
    `orders = "dispatch"`,
    "[zones]",
    ...zones.map((one) => `${one} = "ie-main"`),
    "[listenAddrs]",
    `front = "127.0.0.1:${ports.front}"`,
    `ready = "127.0.0.1:${ports.ready}"`,
    "[limits]",
    `cpuShare = ${limits.cpuShare}`,
    "cores = 1",
    `memoryMb = ${limits.memoryMb}`,
    `maxFds = ${limits.maxFds}`,
    `linkMbps = ${limits.linkMbps}`,
    "diskMb = 0",
    "[faultTolerance]",
    "machines = 2",
    "zones = 1",
    "regions = 0",
    "[bounds]",
    ...Object.entries(bounds).filter(([key]) => key !== "heartbeatMs")
      .map(([key, value]) => `${key} = ${value}`),
    "[platform]",
    `address = "${storeAddress}"`,
    `form = "table"`,
    "writesPerS = 600",
    "readsPerS = 2000",
    "txnMs = 3.0",
    "partitionWritesS = 300",
    "rowBytes = 65536",
    "across = true",
    "retentionS = 20",
  ];
  return `${lines.join("\n")}\n`;
}

/** Creates the daemons of a deployment; each is a process with the command of the deploy file. */
export async function createDaemons(options) {
  const { count, zones, store, bounds, record } = options;
  const used = new Set();
  const folder = mkdtempSync(join(tmpdir(), "chivegrade-review-"));
  const command = readCommand();
  const daemons = [];
  for (let index = 0; index < count; index += 1) {
    const [front, ready, peer, metrics] = await findPorts(4, used);
    const door = await store.openDoor();
    const link = await startLink(door.address);
    const given = options.limits?.[index];
    if (given) link.mbps = given.linkMbps;
    const daemon = {
      name: `edge-${index + 1}`,
      zone: zones[index % zones.length],
      front,
      ready,
      metrics,
      door,
      link,
      logs: [],
      child: undefined,
      /** Ends that the test did not bring about. */
      ownEnds: 0,
      isExpectedToEnd: false,
    };
    const file = join(folder, `${daemon.name}.toml`);
    let bootstrap = true;
    daemon.start = () => {
      if (daemon.child) return;
      writeFileSync(
        file,
        formatSettings({
          name: daemon.name,
          zone: daemon.zone,
          zones,
          ports: { front, ready, peer },
          storeAddress: link.address,
          bounds,
          seeds: [],
          limits: given ?? SMALL_LIMITS,
          bootstrap,
        }),
      );
      bootstrap = false;
      daemon.isExpectedToEnd = false;
      const [program, ...args] = command.map((word) =>
        word === "9464" ? String(metrics) : word
      );
      const child = spawn(program, [...args, "--logs", "all"], {
        cwd: ROOT,
        stdio: ["ignore", "pipe", "pipe"],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          CHIVEGRADE_NODE_FILE: file,
        },
      });
      let rest = "";
      child.stdout.on("data", (chunk) => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop();
        for (const line of lines) {
          if (daemon.logs.length < 200_000) daemon.logs.push(line);
        }
      });
      child.stderr.on("data", (chunk) => daemon.logs.push(`stderr ${chunk}`));
      child.on("exit", (code, signal) => {
        if (daemon.child === child) daemon.child = undefined;
        if (daemon.isExpectedToEnd) return;
        daemon.ownEnds += 1;
        record("daemon ends by itself", { daemon: daemon.name, code, signal });
      });
      daemon.child = child;
      record("daemon starts", { daemon: daemon.name, pid: child.pid });
    };
    daemon.signal = (signal) => {
      if (["SIGKILL", "SIGTERM"].includes(signal)) {
        daemon.isExpectedToEnd = true;
      }
      record("signal", { daemon: daemon.name, signal });
      daemon.child?.kill(signal);
    };
    daemon.isReady = async () => {
      try {
        const reply = await fetch(`http://127.0.0.1:${ready}/ready`);
        return reply.status === 200;
      } catch {
        return false;
      }
    };
    daemons.push(daemon);
  }
  return {
    daemons,
    stop: () => {
      for (const daemon of daemons) {
        daemon.isExpectedToEnd = true;
        daemon.child?.kill("SIGKILL");
        daemon.link.stop();
      }
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
