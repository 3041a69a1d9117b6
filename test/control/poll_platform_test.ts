import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import type { ControlContext } from "../../src/control/control_context.ts";
import { formatVersionKey } from "../../src/control/format_version_key.ts";
import { keepView } from "../../src/control/keep_view.ts";
import { createMetrics } from "../../src/metrics/create_metrics.ts";
import { controlSettingsSchema } from "../../src/settings/control_settings_schema.ts";
import { formatRowKey } from "../../src/store/format_row_key.ts";
import { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";
import { createFirstPatch } from "../fuzz/create_first_patch.ts";
import { silentLogger } from "../fuzz/silent_logger.ts";

const POLL_MS = 100;

/** Guards against changes that a reading which failed halfway took as known. */
describe("a control daemon whose reading of the platform fails halfway", () => {
  let platform: MemoryPlatform;
  let context: ControlContext;
  let failing: string | undefined;
  let told: string[];

  async function wait(ms: number): Promise<void> {
    for (let gone = 0; gone < ms; gone += 10) {
      mock.timers.tick(10);
      for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
    }
  }

  function write(key: string, value: unknown): void {
    platform.transact([{ type: "write", key, value }]);
  }

  function createContext(): ControlContext {
    return {
      settings: controlSettingsSchema.parse({
        role: "control",
        dataCentre: "north",
        platformUrl: "http://127.0.0.1:1",
        operatorAddress: "127.0.0.1:2",
        peerAddress: "127.0.0.1:3",
        pollMs: POLL_MS,
      }),
      platform: {
        table: {
          transact: () => Promise.reject(new Error("not used")),
          scan: (prefix, since) =>
            prefix === failing
              ? Promise.reject(new Error("no answer"))
              : Promise.resolve(platform.scan(prefix, since)),
        },
        objects: {
          put: () => Promise.resolve(),
          get: () => Promise.resolve(undefined),
        },
        readMembers: () => Promise.resolve([]),
        close: () => Promise.resolve(),
      },
      logger: silentLogger,
      metrics: createMetrics(undefined, {}),
      peers: {
        find: () => {
          throw new Error("no peers");
        },
        close: () => {},
      },
      version: 0,
      configuration: undefined,
      leases: new Map(),
      shards: new Map(),
      leavingAddresses: [],
      revisions: new Map(),
      heardAtMs: 0,
      isPlatformRead: true,
      watchers: new Map([["entry", ({ shards }) => {
        told.push(...shards.map(({ key }) => key));
      }]]),
      stopped: false,
    };
  }

  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout"] });
    platform = new MemoryPlatform();
    failing = undefined;
    told = [];
    context = createContext();
    keepView(context);
  });

  afterEach(() => {
    context.stopped = true;
    mock.timers.reset();
  });

  test("tells its entries of a shard's new holder once it can read again", async () => {
    await wait(5 * POLL_MS);
    failing = formatRowKey("lease", "north/");
    write(formatRowKey("shard", "north/0"), { holder: "one", epoch: 1 });
    await wait(5 * POLL_MS);
    failing = undefined;
    await wait(5 * POLL_MS);

    assert.deepEqual(told, ["north/0"]);
    assert.equal(context.shards.get("north/0")?.value.holder, "one");
  });

  test("puts a new version in force once it can read again", async () => {
    write(formatVersionKey(1), {
      version: 1,
      configuration: createFirstPatch(),
    });
    write(formatRowKey("head"), { version: 1 });
    failing = formatRowKey("shard");
    await wait(5 * POLL_MS);
    failing = undefined;
    await wait(5 * POLL_MS);

    assert.equal(context.version, 1);
  });
});
