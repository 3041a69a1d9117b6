import { v7 as createId } from "uuid";
import { startControl } from "../src/control/start_control.ts";
import { startEntry } from "../src/entry/start_entry.ts";
import { controlSettingsSchema } from "../src/settings/control_settings_schema.ts";
import { entrySettingsSchema } from "../src/settings/entry_settings_schema.ts";
import { computeDigest } from "../src/utils/compute_digest.ts";
import { waitMs } from "../src/utils/wait_ms.ts";
import { startEndpoint } from "../stand_ins/endpoint/start_endpoint.ts";
import { startPlatform } from "../stand_ins/platform/start_platform.ts";

/** Loopback address with a free port. */
const ANY_PORT = "127.0.0.1:0";

/**
 * Starts a platform stand-in, two endpoint stand-ins, a control daemon and an
 * entry in this process. `run` submits a job of four tasks and prints its results
 * and the audit of the configuration; it throws if the job does not complete.
 */
export async function startDemo(): Promise<{
  run(): Promise<void>;
  stop(): Promise<void>;
}> {
  const platform = await startPlatform(0);
  const endpoints = [
    await startEndpoint(0, {
      slots: 8,
      slowness: 1,
      overflow: "refuse",
      mode: "run",
    }),
    await startEndpoint(0, {
      slots: 8,
      slowness: 1.5,
      overflow: "refuse",
      mode: "run",
    }),
  ];
  const control = await startControl(controlSettingsSchema.parse({
    role: "control",
    dataCentre: "dublin",
    platformUrl: platform.url,
    operatorAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    pollMs: 100,
    logLevel: "warn",
    bootstrapTokenDigest: computeDigest("bootstrap-token"),
  }));
  await postPatch(control.url, endpoints.map((endpoint) => endpoint.url));
  const entry = await startEntry(entrySettingsSchema.parse({
    role: "entry",
    dataCentre: "dublin",
    platformUrl: platform.url,
    callerAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    controlAddress: control.peerAddress,
    logLevel: "warn",
    seed: 1,
  }));
  await waitUntilReady(entry.url);
  return {
    run: async () => {
      await submitJob(entry.url);
      await printAudit(control.url);
    },
    stop: async () => {
      await entry.stop();
      await control.stop();
      for (const endpoint of endpoints) await endpoint.stop();
      await platform.stop();
    },
  };
}

/** Posts the first patch of the configuration to the control daemon. */
async function postPatch(
  url: string,
  endpointUrls: string[],
): Promise<void> {
  const patch = {
    dataCentres: { dublin: { shards: 1 } },
    clients: {
      studio: {
        tokenDigest: computeDigest("studio-token"),
        homeDataCentre: "dublin",
      },
    },
    operators: { ada: { tokenDigest: computeDigest("ada-token") } },
    endpoints: Object.fromEntries(endpointUrls.map((endpointUrl, index) => [
      `press-${index + 1}`,
      { url: endpointUrl, dataCentre: "dublin", services: ["proof"] },
    ])),
  };
  const reply = await fetch(`${url}/patches`, {
    method: "POST",
    headers: { authorization: "Bearer bootstrap-token" },
    body: JSON.stringify({ base: 0, patchId: "first", patch }),
  });
  const outcome = await reply.json();
  console.log(`configuration: version ${outcome.version} ${outcome.type}`);
}

async function waitUntilReady(url: string): Promise<void> {
  while ((await fetch(`${url}/health`)).status !== 200) await waitMs(20);
}

async function submitJob(url: string): Promise<void> {
  const tasks = [1, 2, 3, 4].map((page) => ({
    service: "proof",
    body: { value: `page ${page}`, runMs: 50 },
  }));
  const reply = await fetch(`${url}/v1/jobs`, {
    method: "POST",
    headers: { authorization: "Bearer studio-token" },
    body: JSON.stringify({ client: "studio", submissionId: createId(), tasks }),
  });
  const answer = await reply.json();
  console.log(`job: ${answer.status}`);
  for (const result of answer.results ?? []) {
    console.log(`  ${JSON.stringify(result)}`);
  }
  if (answer.status !== "complete") {
    throw new Error(`demo job did not complete: ${JSON.stringify(answer)}`);
  }
}

async function printAudit(url: string): Promise<void> {
  const reply = await fetch(`${url}/versions`, {
    headers: { authorization: "Bearer ada-token" },
  });
  const { versions } = await reply.json();
  for (const { version, author, patchId, digest, intact } of versions) {
    console.log(
      `audit: version ${version} by ${author}, patch '${patchId}', ` +
        `digest ${digest.slice(0, 12)}, chain ${intact ? "intact" : "BROKEN"}`,
    );
  }
}
