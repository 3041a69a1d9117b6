import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { decodeEndpointRow } from "../../platform/decode_endpoint_row.ts";
import { startWorker } from "../../stand_ins/node/start_worker.ts";
import { createId } from "../fixtures/create_id.ts";
import { postJob } from "../fixtures/post_job.ts";
import { startNodes } from "../fixtures/start_nodes.ts";
import { waitFor } from "../fixtures/wait_for.ts";

type System = Awaited<ReturnType<typeof startNodes>>;
type Worker = Awaited<ReturnType<typeof startWorker>>;

/** Depth of nested values; their text fits into a row. */
const DEPTH = 20_000;
/** Several readings of the list by each process, in ms. */
const READINGS_MS = 2_000;

/** The JSON text of each field of a sound row. */
const SOUND_FIELDS = {
  service: `"layout"`,
  address: `"127.0.0.1:9"`,
  zone: `"dc-a"`,
  state: `"ready"`,
  freeCapacity: `{"cpu":14000,"memMb":1000,"gpus":0}`,
  labels: `["a","r1"]`,
};

/** Formats a row in which one field has another text. */
function formatRow(field: keyof typeof SOUND_FIELDS, text: string): string {
  const members = Object.entries({ ...SOUND_FIELDS, [field]: text })
    .map(([key, value]) => `"${key}":${value}`);
  return `{${members.join(",")}}`;
}

function formatNested(open: string, close: string): string {
  return open.repeat(DEPTH) + "1" + close.repeat(DEPTH);
}

function formatCapacity(fields: object, number: string): string {
  const text = JSON.stringify({ cpu: 1_000, memMb: 1_000, gpus: 0, ...fields });
  return formatRow("freeCapacity", text.replace(`"?"`, number));
}

const NESTED = formatNested("[", "]");
const ODD_ROWS = {
  "a value that is nested deeply": [
    formatRow("labels", NESTED),
    formatRow("labels", `["a",${NESTED}]`),
    formatRow("labels", `["a",${formatNested(`{"a":`, "}")}]`),
    formatRow("labels", `[{"toString":1,"valueOf":1}]`),
    formatRow("freeCapacity", formatNested(`{"cpu":`, "}")),
    formatRow("address", NESTED),
    NESTED,
  ],
  "a number that is too large": [
    formatCapacity({ cpu: "?" }, "1e999"),
    formatCapacity({ memMb: "?" }, "1e999"),
    formatCapacity({ gpus: "?" }, "1e999"),
    formatCapacity({ cpu: "?" }, "1e300"),
    formatCapacity({ cpu: "?" }, "9007199254740993"),
    formatCapacity({ cpu: "?" }, "-1000"),
  ],
  "a port or an address that is out of range": [
    formatRow("address", `"127.0.0.1:99999"`),
    formatRow("address", `"127.0.0.1:65536"`),
    formatRow("address", `"127.0.0.1:0"`),
    formatRow("address", `"127.0.0.1:18446744073709551617"`),
    formatRow("address", `"127.0.0.999:80"`),
    formatRow("address", `"127.0.1:80"`),
    formatRow("address", `"127.0.0.0.1:80"`),
    formatRow("address", `"..:80"`),
  ],
};

// Another writer may leave an odd row among those of the endpoints. One such
// row made every reading of the list fail, or counted as an endpoint.
describe("a row of an endpoint's table from another writer", () => {
  let system: System;
  const lateWorkers: Worker[] = [];
  const oddKeys: string[] = [];
  afterEach(() => {
    for (const key of oddKeys.splice(0)) system.store.remove("servers", key);
  });
  before(async () => {
    system = await startNodes({ nodes: 2, workers: 2, runMs: 50 });
  });
  after(async () => {
    for (const worker of lateWorkers) await worker.stop();
    await system.stop();
  });

  for (const [kind, texts] of Object.entries(ODD_ROWS)) {
    test(`${kind} names no endpoint`, () => {
      for (const text of texts) {
        const row = { key: "odd", revision: 1, updatedAtMs: 0 };
        const decoded = decodeEndpointRow({ ...row, value: JSON.parse(text) });
        assert.equal(decoded, undefined, text.slice(0, 200));
      }
    });

    test(`${kind} ends no process and hides no other endpoint`, async () => {
      const { store, nodes } = system;
      texts.forEach((text, index) => {
        oddKeys.push(`odd-${index}`);
        store.put("servers", `odd-${index}`, text);
      });
      const id = `worker-${lateWorkers.length}`;
      const worker = await startWorker({ id, runMs: 50, cpu: 14_000 });
      lateWorkers.push(worker);
      const address = `"${worker.address}"`;
      store.put("servers", id, formatRow("address", address));

      const { logs } = system.findScheduler();
      const earlierLogs = logs.length;
      await waitFor(() =>
        logs.some(({ event, endpoint }) =>
          event === "endpointListed" && endpoint === id
        )
      );
      await new Promise((resolve) => setTimeout(resolve, READINGS_MS));
      for (const { child } of nodes) assert.equal(child.exitCode, null);
      const unread = logs.slice(earlierLogs)
        .filter(({ event }) => event === "endpointsNotRead");
      assert.deepEqual(unread, []);
      const jobId = createId(lateWorkers.length);
      assert.equal((await postJob(nodes[0], jobId)).status, 200);
    });
  }

  test("a job that only a number too large would fit is refused at once", async () => {
    const text = formatCapacity({ cpu: "?" }, "1e999");
    oddKeys.push("odd");
    system.store.put("servers", "odd", text);
    await new Promise((resolve) => setTimeout(resolve, READINGS_MS));
    const body = {
      spec: "{}",
      bestEffort: true,
      steps: [{ count: 1, cpu: 99_000, estimateMs: 100 }],
    };

    const reply = await postJob(system.nodes[0], createId(99), { body });
    assert.equal(reply.status, 503);
    assert.deepEqual(reply.body, { error: "neverFits", notRun: true });
  });
});
