import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import { decodeNodeSettings } from "../../platform/decode_node_settings.ts";
import { watchSettingsFile } from "../../platform/watch_settings_file.ts";
import type { NodeSettings } from "../../platform/node_settings.ts";
import { createNodeSettings } from "../fixtures/create_node_settings.ts";

const BASE_SETTINGS = {
  name: "vm-1",
  peerPort: 7_720,
  callerPort: 8_161,
  readyPort: 8_167,
  storeAddress: "127.0.0.1:9000",
};

describe("the bound for evacuations in the settings", () => {
  function decode(evacuateMs: number | undefined): NodeSettings["bounds"] {
    const text = createNodeSettings({ ...BASE_SETTINGS, evacuateMs });
    return decodeNodeSettings(text, "node.toml").bounds;
  }

  test("it may be left out, as by deployments that evacuate nothing", () => {
    assert.equal(decode(undefined).evacuateMs, undefined);
  });

  test("it is read where it is given, and has to be a number", () => {
    assert.equal(decode(5_000).evacuateMs, 5_000);
    assert.throws(() => decode(-1), /bounds\.evacuateMs must be a number/);
  });
});

describe("watching the settings file", () => {
  const file = join(mkdtempSync(join(tmpdir(), "chivegrade-settings-")), "n");
  let applied: NodeSettings[];
  let logged: { event: string; fields?: object }[];
  let settings: ReturnType<typeof watchSettingsFile>;

  afterEach(() => mock.timers.reset());

  beforeEach(() => {
    mock.timers.enable({ apis: ["setInterval"] });
    applied = [];
    logged = [];
    const text = createNodeSettings(BASE_SETTINGS);
    writeFileSync(file, text);
    settings = watchSettingsFile({
      file,
      settings: decodeNodeSettings(text, file),
      log: (event, fields) => logged.push({ event, fields }),
      onChange: (next) => applied.push(next),
    });
  });

  function write(change: Partial<Parameters<typeof createNodeSettings>[0]>) {
    writeFileSync(file, createNodeSettings({ ...BASE_SETTINGS, ...change }));
  }

  test("a change is applied within a second without a signal", () => {
    write({ leaseMs: 700 });
    mock.timers.tick(1_000);

    assert.deepEqual(applied.map(({ bounds }) => bounds.leaseMs), [700]);
    assert.deepEqual(logged, [{
      event: "reloaded",
      fields: { changed: "bounds", needsRestart: "" },
    }]);
  });

  test("a change is applied at once on a signal", () => {
    write({ storeAddress: "127.0.0.1:9001" });
    settings.reload();

    assert.deepEqual(applied.map((next) => next.storeAddress), [
      "127.0.0.1:9001",
    ]);
  });

  test("an unchanged file is logged only on a signal and changes nothing", () => {
    mock.timers.tick(5_000);
    assert.equal(logged.length, 0);

    settings.reload();
    assert.equal(logged[0].event, "reloaded");
    assert.deepEqual(applied.slice(1), []);
  });

  test("an invalid file is logged once and changes nothing, and a corrected file is applied", () => {
    write({ leaseMs: -1 });
    mock.timers.tick(3_000);
    assert.equal(applied.length, 0);
    assert.deepEqual(logged.map(({ event }) => event), ["settingsRefused"]);
    assert.match(JSON.stringify(logged[0].fields), /bounds\.maxHoldMs/);

    write({ leaseMs: 800 });
    mock.timers.tick(1_000);
    assert.deepEqual(applied.map(({ bounds }) => bounds.leaseMs), [800]);
  });

  test("settings that are used only at the start are logged as needing a restart", () => {
    write({ callerPort: 8_999 });
    settings.reload();

    assert.deepEqual(logged[0].fields, {
      changed: "callerAddress",
      needsRestart: "callerAddress",
    });
  });
});
