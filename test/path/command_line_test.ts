import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, describe, test } from "node:test";
import type { Cluster } from "../fixtures/cluster.ts";
import { runCommand } from "../fixtures/run_command.ts";
import { startCluster } from "../fixtures/start_cluster.ts";

describe("the command line", () => {
  const folder = mkdtempSync(join(tmpdir(), "chivegrade-"));
  let cluster: Cluster;
  let entry: string;
  let control: string;

  before(async () => {
    cluster = await startCluster({ entries: { north: 1 } });
    entry = cluster.entries[0].ready.ready;
    control = cluster.controls[0].ready.ready;
  });
  after(() => cluster.stop());

  function writeJson(name: string, value: unknown): string {
    const file = join(folder, name);
    writeFileSync(file, JSON.stringify(value));
    return file;
  }

  // Commands run asynchronously, because the platform stand-in runs in this process: a blocked event loop would act as an outage.
  test("help and version exit with 0, a wrong command and a missing option with 2", async () => {
    const run = async (...args: string[]) =>
      (await runCommand(args, "guild-token")).code;

    assert.equal(await run("--help"), 0);
    assert.equal(await run("--version"), 0);
    assert.equal(await run("nonsense"), 2);
    assert.equal(await run(), 2);
    assert.equal(await run("versions"), 2);
    assert.equal(await run("check"), 2);
    assert.equal(await run("check", "/nowhere.toml"), 1);
    assert.equal(await run("check", "examples/entry.toml"), 0);
  });

  test("submits a job, looks it up and prints its answer", async () => {
    const file = writeJson("tasks.json", [
      { service: "proof", body: { value: "a" } },
    ]);
    const submitted = await runCommand(
      [
        "submit",
        file,
        "--entry",
        entry,
        "--client",
        "guild",
        "--id",
        "order-7",
        "--json",
      ],
      "guild-token",
    );
    const found = await runCommand(
      ["job", "order-7", "--entry", entry, "--client", "guild", "--json"],
      "guild-token",
    );
    const missing = await runCommand(
      ["job", "order-8", "--entry", entry, "--client", "guild"],
      "guild-token",
    );

    assert.equal(submitted.code, 0, JSON.stringify(submitted));
    assert.equal(JSON.parse(submitted.output).status, "complete");
    assert.equal(JSON.parse(found.output).results[0].ran, "a");
    assert.equal(missing.code, 1, JSON.stringify(missing));
  });

  test("a patch is checked by a dry run, accepted once, listed and audited", async () => {
    const file = writeJson("patch.json", { policy: { maxQueueMs: 4_321 } });
    const patch = ["patch", file, "--control", control, "--base", "1"];
    const dry = await runCommand(
      [...patch, "--id", "p", "--dry-run"],
      "ada-token",
    );
    const done = await runCommand([...patch, "--id", "p"], "ada-token");
    const late = await runCommand([...patch, "--id", "q"], "ada-token");
    const versions = await runCommand(
      ["versions", "--control", control],
      "ada-token",
    );
    const audit = await runCommand(
      ["audit", "--control", control],
      "ada-token",
    );

    assert.match(
      dry.output,
      /wouldApply: version 2\n.*maxQueueMs: 5000 -> 4321/,
    );
    assert.match(done.output, /accepted: version 2/);
    assert.equal(late.code, 1);
    assert.equal(versions.output.trim().split("\n").length, 2);
    assert.match(audit.output, /version 2 at .* by ada\n.*4321.*\n.*intact/);
  });

  test("status shows the state of a process, and drain stops an entry with exit code 0", async () => {
    const status = await runCommand(["status", "--url", entry], "ada-token");
    const refused = await runCommand(["status", "--url", entry], "wrong");
    const drained = await runCommand(["drain", "--entry", entry], "ada-token");

    assert.equal(JSON.parse(status.output).lease.phase, "held");
    assert.equal(refused.code, 1);
    assert.equal(drained.code, 0);
    assert.equal(await cluster.entries[0].exited, 0);
  });
});
