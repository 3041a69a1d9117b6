import { checkConfiguration } from "../config/check_configuration.ts";
import type { VersionRecord } from "../config/version_record.ts";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { ControlContext } from "./control_context.ts";
import { formatVersionKey } from "./format_version_key.ts";
import { adoptVersion } from "./adopt_version.ts";

/**
 * Reads a version's record from the platform and adopts it. Rejects with
 * `versionMissing` when there is no record.
 */
export async function readVersion(
  context: ControlContext,
  version: number,
): Promise<void> {
  const key = formatVersionKey(version);
  const scan = await context.platform.table.scan(key, 0);
  const record = scan.rows[0]?.value as VersionRecord | undefined;
  if (!record) {
    throw new ChivegradeError("versionMissing", {
      found: `The head names version ${version}, whose record is missing`,
      remedy: "Look for deleted rows in the platform's table",
    });
  }
  adoptVersion(context, version, checkConfiguration(record.configuration));
}
