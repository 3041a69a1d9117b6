import type { Configuration } from "../config/configuration.ts";
import type { LeaseRow } from "../decide/own/lease_row.ts";
import type { ShardRow } from "../decide/own/shard_row.ts";
import type { Logger } from "../log/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { createPeerPool } from "../peer/create_peer_pool.ts";
import type { ViewMessage } from "../peer/view_message.ts";
import type { Platform } from "../store/platform.ts";
import type { TableRow } from "../store/table_row.ts";
import type { ControlSettings } from "../settings/control_settings.ts";

/** What the parts of a running control daemon share. */
export type ControlContext = {
  settings: ControlSettings;
  platform: Platform;
  logger: Logger;
  metrics: Metrics;
  peers: ReturnType<typeof createPeerPool>;
  /** The highest version seen; it only rises. */
  version: number;
  configuration: Configuration | undefined;
  leases: Map<string, TableRow<LeaseRow>>;
  shards: Map<string, TableRow<ShardRow>>;
  leavingAddresses: string[];
  /** The table's revision up to which the rows under a prefix are known. */
  revisions: Map<string, number>;
  /** Monotonic time of the latest answer of the platform, in ms. */
  heardAtMs: number;
  /** Whether the latest read of the platform went well. */
  isPlatformRead: boolean;
  /** Sends to every entry that watches. */
  watchers: Map<string, (message: ViewMessage) => void>;
  stopped: boolean;
};
