import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { stringify } from "smol-toml";
import { spawnProcess } from "../fixtures/spawn_process.ts";
import { startCluster } from "../fixtures/start_cluster.ts";
import { waitFor } from "../fixtures/wait_for.ts";

test("a control daemon that starts while the platform is down reads the configuration version from a peer", async (context) => {
  const cluster = await startCluster({ entries: { north: 1 } });
  context.after(() => cluster.stop());
  cluster.platform.faults.down = true;
  const file = join(mkdtempSync(join(tmpdir(), "chivegrade-")), "control.toml");
  const settings = {
    role: "control",
    dataCentre: "north",
    platformUrl: cluster.platform.url,
    operatorAddress: "127.0.0.1:0",
    peerAddress: "127.0.0.1:0",
    peers: [cluster.controls[0].ready.name],
  };
  writeFileSync(file, stringify(settings));

  const fresh = await spawnProcess("chivegrade", ["control", file]);
  context.after(() => fresh.signal("SIGKILL"));

  await waitFor(async () =>
    (await fetch(`${fresh.ready.ready}/health`)).status === 200
  );
  const reply = await fetch(`${fresh.ready.ready}/configuration`, {
    headers: { authorization: "Bearer ada-token" },
  });
  assert.equal((await reply.json()).version, 1);
});
