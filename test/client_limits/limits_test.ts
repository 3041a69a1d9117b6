import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decodeNodeSettings } from "../../platform/decode_node_settings.ts";
import { chooseConnectionToClose } from "../../src/client_limits/choose_connection_to_close.ts";
import { chooseHolderToRefuse } from "../../src/client_limits/choose_holder_to_refuse.ts";
import { computeClientLimits } from "../../src/client_limits/compute_client_limits.ts";
import { createNodeSettings } from "../fixtures/create_node_settings.ts";

const KB = 1_024;

describe("limits as shares of what a process may use", () => {
  test("the smallest VM, with 210 MB and 2,212 descriptors, takes a thousand connections and 26 MB of bodies", () => {
    const limits = computeClientLimits({ memoryMb: 210, maxFds: 2_212 });

    assert.equal(limits.maxConnections, 1_006);
    assert.equal(limits.maxBodyBytes, 26.25 * KB * KB);
    assert.equal(limits.maxQueuedRequests, 420);
  });

  test("memory bounds the connections where descriptors abound", () => {
    const limits = computeClientLimits({ memoryMb: 64, maxFds: 100_000 });

    assert.equal(limits.maxConnections, 512);
  });

  test("a process with next to no descriptors still takes a connection", () => {
    const limits = computeClientLimits({ memoryMb: 64, maxFds: 200 });

    assert.equal(limits.maxConnections, 1);
  });
});

describe("the settings file of a VM", () => {
  const ADDRESSES = {
    name: "vm-1",
    peerPort: 7_720,
    callerPort: 8_161,
    readyPort: 8_167,
    storeAddress: "127.0.0.1:9000",
  };

  test("its limits on memory and descriptors are read", () => {
    const limits = { memoryMb: 210, maxFds: 2_212 };
    const text = createNodeSettings({ ...ADDRESSES, limits });

    assert.deepEqual(decodeNodeSettings(text, "file").limits, limits);
  });

  test("a file without them is valid and has the defaults", () => {
    const { limits } = decodeNodeSettings(
      createNodeSettings(ADDRESSES),
      "file",
    );

    assert.deepEqual(limits, { memoryMb: 512, maxFds: 4_096 });
  });
});

describe("the choice of who is refused when a thousand bodies are held open just short of their end", () => {
  const NOW_MS = 60_000;

  function createHolder(name: string, bytes: number, ageMs: number) {
    return { name, bytes, sinceMs: NOW_MS - ageMs, refuse: () => {} };
  }

  test("a large body that has stayed for long goes before small and new ones", () => {
    const crowd = Array.from(
      { length: 1_000 },
      (_, index) => createHolder(`held ${index}`, 16 * KB, 10_000 + index),
    );
    const ordinary = createHolder("ordinary", 16 * KB, 20);
    const large = createHolder("large", 990 * KB, 1_000);
    const holders = [ordinary, ...crowd, large];

    assert.equal(chooseHolderToRefuse(holders, NOW_MS)?.name, "large");
    holders.pop();
    assert.equal(chooseHolderToRefuse(holders, NOW_MS)?.name, "held 999");
  });

  test("nobody is chosen where nobody holds anything", () => {
    assert.equal(chooseHolderToRefuse([], NOW_MS), undefined);
  });
});

describe("the choice of the connection that is closed when there are too many", () => {
  function createConnection(progressMs: number, isServed = false) {
    return { progressMs, isServed, close: () => {} };
  }

  test("the one without progress for longest goes first", () => {
    const idle = createConnection(10);
    const connections = [createConnection(50), idle, createConnection(20)];

    assert.equal(chooseConnectionToClose(connections), idle);
  });

  test("a caller that waits for its job stays, however long", () => {
    const waiting = createConnection(0, true);
    const newcomer = createConnection(90_000);

    assert.equal(chooseConnectionToClose([waiting, newcomer]), newcomer);
    assert.equal(chooseConnectionToClose([waiting]), undefined);
  });
});
