import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { readArguments } from "../../platform/read_arguments.ts";

describe("the arguments of a node", () => {
  test("without any, lines are sampled under load and no metrics are served", () => {
    assert.deepEqual(readArguments(["node", "main"]), {
      metricsPort: undefined,
      logs: "sampled",
    });
  });

  test("the port of the metrics and how much to log are taken", () => {
    const words = ["--metrics-port", "9464", "--logs", "off"];
    assert.deepEqual(readArguments(words), {
      metricsPort: 9464,
      logs: "off",
    });
  });

  test("a bad port and a bad word are named with what is allowed", () => {
    assert.throws(() => readArguments(["--metrics-port", "x"]), /1 to 65535/);
    assert.throws(() => readArguments(["--metrics-port"]), /1 to 65535/);
    assert.throws(
      () => readArguments(["--logs", "some"]),
      /sampled, all or off/,
    );
  });
});
