import assert from "node:assert/strict";
import { test } from "node:test";
import { createEndpointCache } from "../../src/vm/create_endpoint_cache.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";

// A VM in solo mode placed tasks by capacities that were up to 10 s old where
// there are hundreds of endpoints.
test("a list of endpoints that is older than asked for is read again", async () => {
  let cpu = 16_000;
  let reads = 0;
  const cache = createEndpointCache({
    readEndpoints: () => {
      reads += 1;
      return Promise.resolve([{
        id: "e1",
        address: "127.0.0.1:1",
        service: "layout",
        dataCentre: "a",
        labels: [],
        room: { cpu, memoryMb: 64, gpus: 0 },
        isDraining: false,
      }]);
    },
  });
  await waitMs(20);
  cpu = 4_000;
  assert.equal(cache.read(5_000)[0].room.cpu, 16_000);
  cache.read(10);
  await waitMs(5);

  assert.equal(cache.read()[0].room.cpu, 4_000);
  assert.equal(cache.read()[0].largestRoom?.cpu, 16_000);
  assert.equal(reads, 2);
  cache.stop();
});

test("a list that is being read is not read a second time meanwhile", async () => {
  let reads = 0;
  const cache = createEndpointCache({
    readEndpoints: () => {
      reads += 1;
      return new Promise(() => {});
    },
  });
  await waitMs(20);
  cache.read(10);
  cache.read(10);

  assert.equal(reads, 1);
  cache.stop();
});
