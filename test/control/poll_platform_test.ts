import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, mock, test } from "node:test";
import type { ControlContext } from "../../src/control/control_context.ts";
import { formatVersionKey } from "../../src/control/format_version_key.ts";
import { pollPlatform } from "../../src/control/poll_platform.ts";
import { createMetrics } from "../../src/metrics/create_metrics.ts";
import { controlSettingsSchema } from "../../src/settings/control_settings_schema.ts";
import { formatRowKey } from "../../src/store/format_row_key.ts";
import { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";
import { createFirstPatch } from "../fuzz/create_first_patch.ts";
import { silentLogger } from "../fuzz/silent_logger.ts";

const POLL_MS = 100;

/**
 * A poll reads the rows of several prefixes one after the other. Guards against
 * marking rows as read when a later read of the same poll fails, which would
 * lose their changes.
 */
describe("a control daemon whose poll of the platform fails partway", () => {
  let platform: MemoryPlatform;
  let context: ControlContext;
  let failingPrefix: string | undefined;
  let sentKeys: string[];

  async function wait(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
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
            prefix === failingPrefix
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
      lastResponseAtMs: 0,
      isPlatformReachable: true,
      watchers: new Map([["entry", ({ shards }) => {
        sentKeys.push(...shards.map(({ key }) => key));
      }]]),
      stopped: false,
    };
  }

  beforeEach(() => {
    mock.timers.enable({ apis: ["setTimeout"] });
    platform = new MemoryPlatform();
    failingPrefix = undefined;
    sentKeys = [];
    context = createContext();
    pollPlatform(context);
  });

  afterEach(() => {
    context.stopped = true;
    mock.timers.reset();
  });

  test("sends a shard's new holder to its entries once reads succeed again", async () => {
    await wait(5 * POLL_MS);
    failingPrefix = formatRowKey("lease", "north/");
    write(formatRowKey("shard", "north/0"), { holder: "one", epoch: 1 });
    await wait(5 * POLL_MS);
    failingPrefix = undefined;
    await wait(5 * POLL_MS);

    assert.deepEqual(sentKeys, ["north/0"]);
    assert.equal(context.shards.get("north/0")?.value.holder, "one");
  });

  test("adopts a new version once reads succeed again", async () => {
    write(formatVersionKey(1), {
      version: 1,
      configuration: createFirstPatch(),
    });
    write(formatRowKey("head"), { version: 1 });
    failingPrefix = formatRowKey("shard");
    await wait(5 * POLL_MS);
    failingPrefix = undefined;
    await wait(5 * POLL_MS);

    assert.equal(context.version, 1);
  });
});
