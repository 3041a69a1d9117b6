import type { z } from "zod";
import { applyMergePatch } from "../config/apply_merge_patch.ts";
import { checkConfiguration } from "../config/check_configuration.ts";
import { computeChanges } from "../config/compute_changes.ts";
import { computeSettlingMs } from "../config/compute_settling_ms.ts";
import { computeVersionDigest } from "../config/compute_version_digest.ts";
import type { Configuration } from "../config/configuration.ts";
import { configurationSchema } from "../config/configuration_schema.ts";
import { findEffectFaults } from "../config/find_effect_faults.ts";
import type { VersionRecord } from "../config/version_record.ts";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { Table } from "../store/table.ts";
import { formatJson } from "../utils/format_json.ts";
import { loadVersions } from "./load_versions.ts";
import type { PatchOutcome } from "./patch_outcome.ts";
import type { patchRequestSchema } from "./patch_request.ts";
import { writeVersion } from "./write_version.ts";

type PatchRequest = z.output<typeof patchRequestSchema>;

/** `previousDigest` of version 1, which has no previous version. */
const FIRST_DIGEST = "0".repeat(64);

/**
 * Validates a patch and its effects and, unless it is a dry run, writes the
 * resulting configuration as the next version. Rejects with `patchInvalid` or
 * `patchIdReused`.
 */
export async function applyPatch(
  table: Table,
  request: PatchRequest,
  author: string,
): Promise<PatchOutcome> {
  const { records, nowMs } = await loadVersions(table);
  const earlier = records.find((one) => one.patchId === request.patchId);
  if (earlier) return describeAcceptedPatch(records, earlier, request);
  const head = records.at(-1);
  const headVersion = head?.version ?? 0;
  if (request.base !== headVersion) {
    return describeConflict(records, request.base);
  }
  const before = readConfiguration(head);
  const after = checkConfiguration(
    applyMergePatch(head?.configuration ?? {}, request.patch),
  );
  checkEffects(before, after, { records, nowMs, force: request.force });
  const changes = computeChanges(before, after);
  const version = headVersion + 1;
  if (request.dryRun) return { type: "wouldApply", version, changes };
  const record = createRecord(request, author, { head, after, nowMs });
  const written = await writeVersion(table, record);
  if (written) return { type: "accepted", version, changes };
  return describeConflict((await loadVersions(table)).records, request.base);
}

function readConfiguration(head: VersionRecord | undefined): Configuration {
  const value = head?.configuration ?? { dataCentres: {} };
  return configurationSchema.parse(value);
}

/**
 * Describes the outcome of a patch whose id was accepted earlier: an operator's
 * tool sends a patch again when the reply was lost. Throws `patchIdReused` when
 * the contents differ.
 */
function describeAcceptedPatch(
  records: VersionRecord[],
  earlier: VersionRecord,
  request: PatchRequest,
): PatchOutcome {
  if (formatJson(earlier.patch) !== formatJson(request.patch)) {
    throw new ChivegradeError("patchIdReused", {
      found:
        `Patch id '${request.patchId}' stands for another patch, accepted as version ${earlier.version}`,
      remedy: "Choose a new patch id",
    });
  }
  const before = records.find((one) => one.version === earlier.version - 1);
  const changes = computeChanges(
    before?.configuration ?? {},
    earlier.configuration,
  );
  return { type: "accepted", version: earlier.version, changes };
}

function describeConflict(
  records: VersionRecord[],
  base: number,
): PatchOutcome {
  const head = records.at(-1);
  const baseRecord = records.find((one) => one.version === base);
  const changes = computeChanges(
    baseRecord?.configuration ?? {},
    head?.configuration ?? {},
  );
  return { type: "conflict", version: head?.version ?? 0, changes };
}

/**
 * Throws `patchInvalid` when the change would have harmful effects. The check
 * includes all versions that were current during the past retention period plus
 * one lease (`computeSettlingMs`), because a client may change shards only after
 * it has been suspended for that long.
 * `force` permits the effects that an operator may accept.
 */
function checkEffects(
  before: Configuration,
  after: Configuration,
  options: { records: VersionRecord[]; nowMs: number; force: boolean },
): void {
  const { records, nowMs, force } = options;
  const sinceMs = nowMs - computeSettlingMs(before);
  const recent = records
    .filter((_, index) =>
      (records[index + 1]?.acceptedAtMs ?? nowMs) >= sinceMs
    )
    .map((record) => configurationSchema.parse(record.configuration));
  const faults = findEffectFaults(before, after, { recent });
  const found = force
    ? faults.binding
    : [...faults.forcible, ...faults.binding];
  if (found.length === 0) return;
  throw new ChivegradeError("patchInvalid", {
    found: `The patch would do harm: ${found.join("; ")}`,
    remedy: faults.binding.length > 0
      ? "Follow 'Moving a client' in docs/OPERATIONS.md"
      : "Add endpoints first, or repeat with --force if that is meant",
  });
}

function createRecord(
  request: PatchRequest,
  author: string,
  options: {
    head: VersionRecord | undefined;
    after: Configuration;
    nowMs: number;
  },
): VersionRecord {
  const { head, after, nowMs } = options;
  const record = {
    version: (head?.version ?? 0) + 1,
    author,
    patchId: request.patchId,
    patch: request.patch,
    configuration: after,
    acceptedAtMs: nowMs,
    forced: request.force,
    previousDigest: head?.digest ?? FIRST_DIGEST,
  };
  return { ...record, digest: computeVersionDigest(record) };
}
