import { parseArgs } from "node:util";
import { startEndpoint } from "./endpoint/start_endpoint.ts";
import { startPlatform } from "./platform/start_platform.ts";

const USAGE =
  "use: platform [--port N] | endpoint [--port N] [--slots N] [--slowness X] | endpoints --specification SLOTS:SLOWNESS,... [--overflow queue]";

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: {
    port: { type: "string", default: "0" },
    slots: { type: "string", default: "8" },
    slowness: { type: "string", default: "1" },
    specification: { type: "string", default: "" },
    overflow: { type: "string", default: "refuse" },
  },
});
const port = Number(values.port);

startStandIn(positionals[0]);

async function startStandIn(name: string | undefined): Promise<void> {
  if (name === "platform") {
    const { url } = await startPlatform(port);
    printReady(url);
  } else if (name === "endpoint") {
    const { url } = await startEndpoint(port, {
      slots: Number(values.slots),
      slowness: Number(values.slowness),
      overflow: readOverflow(),
      mode: "run",
    });
    printReady(url);
  } else if (name === "endpoints") {
    printReady((await startEndpoints()).join(","));
  } else {
    process.stderr.write(`${USAGE}\n`);
    process.exitCode = 2;
  }
}

function printReady(url: string): void {
  process.stdout.write(JSON.stringify({ ready: url }) + "\n");
}

function readOverflow(): "refuse" | "queue" {
  return values.overflow === "queue" ? "queue" : "refuse";
}

async function startEndpoints(): Promise<string[]> {
  const urls: string[] = [];
  for (const pair of values.specification.split(",")) {
    const [slots, slowness] = pair.split(":").map(Number);
    const overflow = readOverflow();
    const endpoint = await startEndpoint(0, {
      slots,
      slowness,
      overflow,
      mode: "run",
    });
    urls.push(endpoint.url);
  }
  return urls;
}
