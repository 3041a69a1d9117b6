import { advanceChart } from "../charts/advance_chart.ts";
import { processChart } from "../charts/process_chart.ts";
import { applyVersion } from "../decide/entry/apply_version.ts";
import { checkConfiguration } from "../config/check_configuration.ts";
import { readError } from "../errors/read_error.ts";
import type { ViewMessage } from "../peer/view_message.ts";
import type { TableRow } from "../store/table_row.ts";
import { updateState } from "./update_state.ts";
import { closeOutdatedSenders } from "./close_outdated_senders.ts";
import type { EntryContext } from "./entry_context.ts";

/**
 * Applies a message of the control daemon: its configuration, when there is
 * one, and rows with a higher revision than the known ones.
 */
export function applyView(context: EntryContext, message: ViewMessage): void {
  if (message.configuration !== "") applyConfiguration(context, message);
  const { view } = context;
  for (const row of message.leases) mergeRow(view.leases, row);
  for (const row of message.shards) mergeRow(view.shards, row);
  view.leavingAddresses = message.leavingAddresses;
}

function applyConfiguration(context: EntryContext, message: ViewMessage): void {
  const { version } = message;
  try {
    const configuration = checkConfiguration(JSON.parse(message.configuration));
    updateState(context, (state) => {
      applyVersion(state, { version, configuration });
      closeOutdatedSenders(context);
    });
    if (context.phase === "starting" && context.state.version.version > 0) {
      context.phase = advanceChart(processChart, context.phase, "ready");
    }
    context.logger.info("versionInForce", {
      version: context.state.version.version,
    });
  } catch (thrown) {
    const { message: found } = readError(thrown);
    context.logger.error("versionUnusable", { version, message: found });
  }
}

/** Stores a row unless a row with the same or a higher revision is known. */
function mergeRow<Value>(
  rows: Map<string, TableRow<Value>>,
  row: TableRow<Value>,
): void {
  const known = rows.get(row.key);
  if (!known || row.revision > known.revision) rows.set(row.key, row);
}
