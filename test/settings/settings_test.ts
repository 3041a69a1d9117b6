import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { describe, test } from "node:test";
import { loadSettings } from "../../src/settings/load_settings.ts";
import { parseSettings } from "../../src/settings/parse_settings.ts";

const ENTRY = `
role = "entry"
dataCentre = "dublin"
platformUrl = "http://10.0.0.1:7000"
callerAddress = "10.0.0.7:7400"
peerAddress = "10.0.0.7:7401"
controlAddress = "10.0.0.7:7501"
`;

describe("settings", () => {
  test("every example is valid", () => {
    const files = readdirSync("examples", { recursive: true, encoding: "utf8" })
      .filter((one) => one.endsWith(".toml"));
    assert.equal(files.length, 4);
    for (const file of files) loadSettings(`examples/${file}`);
  });

  test("all faults are reported at once, each with its key", () => {
    const text = ENTRY.replace("10.0.0.7:7400", "dublin-7:7400") +
      "weight = -1\ncolour = 3\n";

    assert.throws(() => parseSettings(text, "entry.toml"), (error: Error) => {
      assert.match(error.message, /^entry\.toml: /);
      assert.match(error.message, /callerAddress: give an IP number/);
      assert.match(error.message, /weight: /);
      assert.match(error.message, /colour/);
      assert.match(error.message, /chivegrade check/);
      return true;
    });
  });

  test("settings that conflict with one another are reported with the remedy", () => {
    const text = ENTRY.replace("7401", "7400") + "stopWithinMs = 1000\n";

    assert.throws(() => parseSettings(text, "entry.toml"), (error: Error) => {
      assert.match(error.message, /peerAddress: .* is also callerAddress/);
      assert.match(error.message, /stopWithinMs: 1000 is less than/);
      return true;
    });
  });

  test("a file that is not TOML is reported as such", () => {
    assert.throws(() => parseSettings("role =", "x.toml"), /x\.toml: not TOML/);
  });
});
