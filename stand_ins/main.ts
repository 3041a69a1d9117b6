import { parseArgs } from "node:util";
import { startEndpoint } from "./endpoint/start_endpoint.ts";
import { startPlatform } from "./platform/start_platform.ts";

const USE =
  "use: platform [--port N] | endpoint [--port N] [--slots N] [--slowness X]";

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: {
    port: { type: "string", default: "0" },
    slots: { type: "string", default: "8" },
    slowness: { type: "string", default: "1" },
  },
});
const port = Number(values.port);

startNamed(positionals[0]);

async function startNamed(name: string | undefined): Promise<void> {
  if (name === "platform") {
    const { url } = await startPlatform(port);
    printReady(url);
  } else if (name === "endpoint") {
    const { url } = await startEndpoint(port, {
      slots: Number(values.slots),
      slowness: Number(values.slowness),
      mode: "run",
    });
    printReady(url);
  } else {
    process.stderr.write(`${USE}\n`);
    process.exitCode = 2;
  }
}

function printReady(url: string): void {
  process.stdout.write(JSON.stringify({ ready: url }) + "\n");
}
