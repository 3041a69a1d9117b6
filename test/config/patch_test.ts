import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { computeVersionDigest } from "../../src/config/compute_version_digest.ts";
import { applyPatch } from "../../src/control/apply_patch.ts";
import { loadVersions } from "../../src/control/load_versions.ts";
import type { Table } from "../../src/store/table.ts";
import { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";

const FIRST = {
  dataCentres: { north: {}, south: {} },
  clients: {
    guild: { tokenDigest: "0".repeat(64), homeDataCentre: "north" },
  },
};

function createTable(platform = new MemoryPlatform()): Table {
  return {
    transact: (operations) => Promise.resolve(platform.transact(operations)),
    scan: (prefix, since) => Promise.resolve(platform.scan(prefix, since)),
  };
}

function createRequest(
  base: number,
  patch: Record<string, unknown>,
  options: { id?: string; dryRun?: boolean } = {},
) {
  const patchId = options.id ?? `patch-${base}`;
  const { dryRun = false } = options;
  return { base, patchId, patch, force: false, dryRun };
}

describe("patches", () => {
  test("a patch against an outdated version is a conflict that lists the changes made since that version", async () => {
    const table = createTable();
    await applyPatch(table, createRequest(0, FIRST), "ada");
    const change = { policy: { maxQueueMs: 1_000 } };
    await applyPatch(table, createRequest(1, change, { id: "a" }), "ada");

    const outcome = await applyPatch(
      table,
      createRequest(1, { policy: { maxAttempts: 2 } }, { id: "b" }),
      "grace",
    );

    assert.equal(outcome.type, "conflict");
    assert.deepEqual(outcome.changes, [
      { path: "policy.maxQueueMs", before: 5_000, after: 1_000 },
    ]);
    assert.equal((await loadVersions(table)).records.length, 2);
  });

  test("a repeated patch returns the version it created, and another patch with the same id is refused", async () => {
    const table = createTable();
    await applyPatch(table, createRequest(0, FIRST), "ada");

    const again = await applyPatch(table, createRequest(0, FIRST), "ada");

    assert.equal(again.type, "accepted");
    assert.equal(again.version, 1);
    await assert.rejects(
      applyPatch(table, createRequest(0, { clients: {} }), "ada"),
      /Choose a new patch id/,
    );
  });

  test("a dry run lists the changes and accepts nothing", async () => {
    const table = createTable();
    await applyPatch(table, createRequest(0, FIRST), "ada");
    const change = { clients: { guild: { weight: 3 } } };

    const outcome = await applyPatch(
      table,
      createRequest(1, change, { dryRun: true }),
      "ada",
    );

    assert.equal(outcome.type, "wouldApply");
    assert.deepEqual(outcome.changes, [
      { path: "clients.guild.weight", before: 1, after: 3 },
    ]);
    assert.equal((await loadVersions(table)).records.length, 1);
  });

  test("the home data centre of a client can't change while the client is not suspended", async () => {
    const table = createTable();
    await applyPatch(table, createRequest(0, FIRST), "ada");
    const move = { clients: { guild: { homeDataCentre: "south" } } };

    await assert.rejects(
      applyPatch(table, createRequest(1, move), "ada"),
      /suspended for/,
    );
  });

  test("each record has the digest of the preceding record, and an altered record no longer matches its digest", async () => {
    const platform = new MemoryPlatform();
    const table = createTable(platform);
    await applyPatch(table, createRequest(0, FIRST), "ada");
    const change = { policy: { maxAttempts: 2 } };
    await applyPatch(table, createRequest(1, change), "grace");

    const { records: [first, second] } = await loadVersions(table);

    assert.equal(second.previousDigest, first.digest);
    assert.equal(computeVersionDigest(second), second.digest);
    const altered = { ...second, author: "ada" };
    assert.notEqual(computeVersionDigest(altered), second.digest);
  });
});
