import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { createEvacuationsView } from "../../src/evacuation/create_evacuations_view.ts";
import type { Evacuations } from "../../src/evacuation/evacuations.ts";

/** Creates a view whose own reading of the store the test sets. */
function createView(options: { isExpected?: boolean } = {}) {
  const own: { list?: Evacuations } = {};
  const events: string[] = [];
  const view = createEvacuationsView({
    readStored: () => own.list,
    isExpected: () => options.isExpected ?? false,
    log: (event) => events.push(event),
  });
  return { view, own, events };
}

describe("what a VM knows of the evacuations", () => {
  test("where there has never been one, it says nothing of them", () => {
    const { view, own } = createView();
    own.list = { revision: 4, dataCentres: [] };

    assert.equal(view.read(), undefined);
  });

  test("where the settings have a bound for them, an empty list counts as known", () => {
    const { view, own } = createView({ isExpected: true });
    assert.equal(view.read(), undefined);
    own.list = { revision: 4, dataCentres: [] };

    assert.deepEqual(view.read(), own.list);
  });

  test("a VM that is cut off from the store learns of one from a peer", () => {
    const { view, own, events } = createView();
    own.list = { revision: 4, dataCentres: [] };
    view.update({ revision: 9, dataCentres: ["a"] });

    assert.deepEqual(view.read(), { revision: 9, dataCentres: ["a"] });
    assert.deepEqual(events, ["dataCentreEvacuated"]);
    assert.deepEqual([...view.readAges().keys()], ["a"]);
  });

  test("the list of a peer that knows less is ignored", () => {
    const { view, own } = createView();
    own.list = { revision: 9, dataCentres: ["a"] };
    assert.deepEqual(view.read()?.dataCentres, ["a"]);
    view.update({ revision: 4, dataCentres: [] });
    view.update(undefined);

    assert.deepEqual(view.read()?.dataCentres, ["a"]);
  });

  test("an evacuation ends only by a later list, not by a lost store", () => {
    const { view, own, events } = createView();
    own.list = { revision: 9, dataCentres: ["a"] };
    view.read();
    own.list = undefined;
    assert.deepEqual(view.read()?.dataCentres, ["a"]);
    own.list = { revision: 12, dataCentres: [] };

    assert.deepEqual(view.read()?.dataCentres, []);
    assert.deepEqual(events, ["dataCentreEvacuated", "dataCentreReopened"]);
  });
});
