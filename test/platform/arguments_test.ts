import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { readArguments } from "../../platform/read_arguments.ts";

describe("the arguments of a node", () => {
  test("without any, lines are logged and no metrics are served", () => {
    assert.deepEqual(readArguments(["node", "main"]), {
      metricsPort: undefined,
      isLogging: true,
    });
  });

  test("the port of the metrics and whether to log are taken", () => {
    const words = ["--metrics-port", "9464", "--logs", "off"];
    assert.deepEqual(readArguments(words), {
      metricsPort: 9464,
      isLogging: false,
    });
  });

  test("a bad port and a bad word are named with what is allowed", () => {
    assert.throws(() => readArguments(["--metrics-port", "x"]), /1 to 65535/);
    assert.throws(() => readArguments(["--metrics-port"]), /1 to 65535/);
    assert.throws(() => readArguments(["--logs", "some"]), /on or off/);
  });
});
