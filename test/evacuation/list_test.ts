import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEvacuationList } from "../../platform/create_evacuation_list.ts";
import { decodeRow } from "../../platform/decode_row.ts";

/** Creates a reading of rows as the store sends them. */
function createScan(revision: number, rows: object[]) {
  const decoded = rows.map(decodeRow).filter((row) => row !== undefined);
  return { rows: decoded, revision, atMs: 0 };
}

function createRow(
  key: string,
  ver: number,
  value: string | undefined = "e30=",
) {
  return { key, ver, value };
}

describe("the operator's rows that evacuate data centres", () => {
  test("no list is known before the first reading", () => {
    const list = createEvacuationList();
    list.update(createScan(5, [createRow("evacuate/a", 5)]));

    assert.equal(list.read(), undefined);
  });

  test("a reading without such rows gives an empty list", () => {
    const list = createEvacuationList();
    list.replace(createScan(3, [createRow("config", 2)]));

    assert.deepEqual(list.read(), { revision: 3, dataCentres: [] });
  });

  test("two data centres are evacuated at once, and one is taken back", () => {
    const list = createEvacuationList();
    list.replace(createScan(3, []));
    list.update(
      createScan(5, [createRow("evacuate/b", 4), createRow("evacuate/a", 5)]),
    );
    assert.deepEqual(list.read()?.dataCentres, ["a", "b"]);
    list.update(createScan(7, [{ key: "evacuate/a", ver: 7, deleted: true }]));

    assert.deepEqual(list.read(), { revision: 7, dataCentres: ["b"] });
  });

  test("a malformed value evacuates as well", () => {
    const list = createEvacuationList();
    list.replace(
      createScan(3, [
        createRow("evacuate/a", 1, "bm90IEpTT04="),
        createRow("evacuate/b", 2, ""),
        { key: "evacuate/c", ver: 3 },
        { key: "evacuate/d", ver: 3, value: 7 },
      ]),
    );

    assert.deepEqual(list.read()?.dataCentres, ["a", "b", "c", "d"]);
  });

  test("a key without a name evacuates nothing", () => {
    const list = createEvacuationList();
    list.replace(createScan(3, [createRow("evacuate/", 1)]));
    list.update(createScan(4, [createRow("evacuate/", 4)]));

    assert.deepEqual(list.read()?.dataCentres, []);
  });

  test("a reading of the whole table shows rows that were removed while no change was heard", () => {
    const list = createEvacuationList();
    list.replace(createScan(3, [createRow("evacuate/a", 2)]));
    list.replace(createScan(9, [createRow("evacuate/b", 8)]));

    assert.deepEqual(list.read(), { revision: 9, dataCentres: ["b"] });
  });

  test("a reading that arrives late changes nothing", () => {
    const list = createEvacuationList();
    list.replace(createScan(9, [createRow("evacuate/b", 8)]));
    list.replace(createScan(3, [createRow("evacuate/a", 2)]));
    list.update(createScan(5, [{ key: "evacuate/b", ver: 5, deleted: true }]));

    assert.deepEqual(list.read(), { revision: 9, dataCentres: ["b"] });
  });

  test("changes from before the last reading of the whole table are not applied again", () => {
    const list = createEvacuationList();
    list.replace(createScan(9, [createRow("evacuate/a", 8)]));
    list.update(
      createScan(10, [
        { key: "evacuate/a", ver: 7, deleted: true },
        createRow("evacuate/b", 10),
      ]),
    );

    assert.deepEqual(list.read()?.dataCentres, ["a", "b"]);
  });
});
