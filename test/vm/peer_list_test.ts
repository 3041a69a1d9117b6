import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createPeerList } from "../../src/vm/create_peer_list.ts";

function createVms(names: string[]) {
  return names.map((name) => ({ name, dataCentre: "a", address: name }));
}

describe("the list of known VMs", () => {
  test("keeps a VM that schedulers do not list for a short time", () => {
    const peers = createPeerList();
    peers.update(createVms(["a", "b"]), 0);
    peers.update(createVms(["a"]), 50_000);

    assert.deepEqual(peers.list(), createVms(["a", "b"]));
  });

  test("drops a VM that schedulers do not list for a long time", () => {
    const peers = createPeerList();
    peers.update(createVms(["a", "b"]), 0);
    peers.update(createVms(["a"]), 50_000);
    peers.update(createVms(["a"]), 111_000);

    assert.deepEqual(peers.list(), createVms(["a"]));
  });

  test("restarts the retention time of a VM that is listed again", () => {
    const peers = createPeerList();
    peers.update(createVms(["a", "b"]), 0);
    peers.update(createVms(["a"]), 1_000);
    peers.update(createVms(["a", "b"]), 30_000);
    peers.update(createVms(["a"]), 80_000);

    assert.deepEqual(peers.list(), createVms(["a", "b"]));
  });
});
