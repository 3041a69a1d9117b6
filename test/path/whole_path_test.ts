import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { computeDigest } from "../../src/utils/compute_digest.ts";
import type { SpawnedProcess } from "../fixtures/spawn_process.ts";
import { spawnProcess } from "../fixtures/spawn_process.ts";
import { submit } from "../fixtures/submit.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("a job runs across separate processes and its caller receives the complete answer", async (context) => {
  const folder = mkdtempSync(join(tmpdir(), "chivegrade-"));
  const started: SpawnedProcess[] = [];
  const start = async (...args: Parameters<typeof spawnProcess>) => {
    const process = await spawnProcess(...args);
    started.push(process);
    return process;
  };
  context.after(() => {
    for (const process of started) process.signal("SIGKILL");
  });
  const platform = await start("stand_ins", ["platform"]);
  const endpoints = [
    await start("stand_ins", ["endpoint"]),
    await start("stand_ins", ["endpoint", "--slowness", "1.5"]),
  ];
  const controlFile = join(folder, "control.toml");
  writeFileSync(
    controlFile,
    `
role = "control"
dataCentre = "dublin"
platformUrl = "${platform.ready.ready}"
operatorAddress = "127.0.0.1:0"
peerAddress = "127.0.0.1:0"
pollMs = 100
bootstrapTokenDigest = "${computeDigest("bootstrap-token")}"
`,
  );
  const control = await start("chivegrade", ["control", controlFile]);
  const accepted = await fetch(`${control.ready.ready}/patches`, {
    method: "POST",
    headers: { authorization: "Bearer bootstrap-token" },
    body: JSON.stringify({
      base: 0,
      patchId: "first",
      patch: {
        dataCentres: { dublin: {} },
        clients: {
          guild: {
            tokenDigest: computeDigest("guild-token"),
            homeDataCentre: "dublin",
          },
        },
        endpoints: Object.fromEntries(
          endpoints.map((endpoint, index) => [`press-${index}`, {
            url: endpoint.ready.ready,
            dataCentre: "dublin",
            services: ["proof"],
          }]),
        ),
      },
    }),
  });
  assert.equal(accepted.status, 200);
  const entryFile = join(folder, "entry.toml");
  writeFileSync(
    entryFile,
    `
role = "entry"
dataCentre = "dublin"
platformUrl = "${platform.ready.ready}"
callerAddress = "127.0.0.1:0"
peerAddress = "127.0.0.1:0"
controlAddress = "${control.ready.name}"
`,
  );
  const entry = await start("chivegrade", ["entry", entryFile]);
  await waitFor(async () =>
    (await fetch(`${entry.ready.ready}/health`)).status === 200
  );

  const answer = await submit(entry.ready.ready, {
    tasks: [{ value: "a" }, { value: "b", runMs: 5 }, { value: "c" }],
  });

  assert.equal(answer.status, "complete");
  const ran = answer.results?.map((result) => result.ran);
  assert.deepEqual(ran, ["a", "b", "c"]);
  entry.signal("SIGTERM");
  assert.equal(await entry.exited, 0);
});
