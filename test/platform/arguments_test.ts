import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { readArguments } from "../../platform/read_arguments.ts";

describe("the command-line arguments of a VM's process", () => {
  test("without arguments, log lines are sampled under load and no metrics are served", () => {
    assert.deepEqual(readArguments(["node", "main"]), {
      metricsPort: undefined,
      logs: "sampled",
    });
  });

  test("the metrics port and the log volume are read", () => {
    const words = ["--metrics-port", "9464", "--logs", "off"];
    assert.deepEqual(readArguments(words), {
      metricsPort: 9464,
      logs: "off",
    });
  });

  test("the errors for an invalid port and an invalid log volume name the allowed values", () => {
    assert.throws(() => readArguments(["--metrics-port", "x"]), /1 to 65535/);
    assert.throws(() => readArguments(["--metrics-port"]), /1 to 65535/);
    assert.throws(
      () => readArguments(["--logs", "some"]),
      /sampled, all or off/,
    );
  });
});
