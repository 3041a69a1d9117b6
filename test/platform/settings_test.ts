import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { decodeNodeSettings } from "../../platform/decode_node_settings.ts";
import { followSettings } from "../../platform/follow_settings.ts";
import type { NodeSettings } from "../../platform/node_settings.ts";
import { createNodeSettings } from "../fixtures/create_node_settings.ts";

const WRITTEN = {
  name: "vm-1",
  peerPort: 7_720,
  callerPort: 8_161,
  readyPort: 8_167,
  storeAddress: "127.0.0.1:9000",
};

describe("the settings of a running node", () => {
  const file = join(mkdtempSync(join(tmpdir(), "chivegrade-settings-")), "n");
  let taken: NodeSettings[];
  let logged: { event: string; fields?: object }[];
  let settings: ReturnType<typeof followSettings>;

  afterEach(() => mock.timers.reset());

  beforeEach(() => {
    mock.timers.enable({ apis: ["setInterval"] });
    taken = [];
    logged = [];
    const text = createNodeSettings(WRITTEN);
    writeFileSync(file, text);
    settings = followSettings({
      file,
      settings: decodeNodeSettings(text, file),
      log: (event, fields) => logged.push({ event, fields }),
      changed: (next) => taken.push(next),
    });
  });

  function write(change: Partial<Parameters<typeof createNodeSettings>[0]>) {
    writeFileSync(file, createNodeSettings({ ...WRITTEN, ...change }));
  }

  test("a change without a signal is in force within a second", () => {
    write({ leaseMs: 700 });
    mock.timers.tick(1_000);

    assert.deepEqual(taken.map(({ bounds }) => bounds.leaseMs), [700]);
    assert.deepEqual(logged, [{
      event: "reloaded",
      fields: { changed: "bounds", needsRestart: "" },
    }]);
  });

  test("a change is in force at once on a signal", () => {
    write({ storeAddress: "127.0.0.1:9001" });
    settings.reload();

    assert.deepEqual(taken.map((next) => next.storeAddress), [
      "127.0.0.1:9001",
    ]);
  });

  test("a file that says the same changes nothing, and only a signal is logged", () => {
    mock.timers.tick(5_000);
    assert.equal(logged.length, 0);

    settings.reload();
    assert.equal(logged[0].event, "reloaded");
    assert.deepEqual(taken.slice(1), []);
  });

  test("a faulty file changes nothing, is named once, and a mended one is taken up", () => {
    write({ leaseMs: -1 });
    mock.timers.tick(3_000);
    assert.equal(taken.length, 0);
    assert.deepEqual(logged.map(({ event }) => event), ["settingsRefused"]);
    assert.match(JSON.stringify(logged[0].fields), /bounds\.maxHoldMs/);

    write({ leaseMs: 800 });
    mock.timers.tick(1_000);
    assert.deepEqual(taken.map(({ bounds }) => bounds.leaseMs), [800]);
  });

  test("what is bound at the start is named as needing a restart", () => {
    write({ callerPort: 8_999 });
    settings.reload();

    assert.deepEqual(logged[0].fields, {
      changed: "callerAddress",
      needsRestart: "callerAddress",
    });
  });
});
