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

/** The state, settings and dependencies of a running control daemon. */
export type ControlContext = {
  settings: ControlSettings;
  platform: Platform;
  logger: Logger;
  metrics: Metrics;
  peers: ReturnType<typeof createPeerPool>;
  /** The highest configuration version received; never decreases. 0 before the first. */
  version: number;
  configuration: Configuration | undefined;
  leases: Map<string, TableRow<LeaseRow>>;
  shards: Map<string, TableRow<ShardRow>>;
  leavingAddresses: string[];
  /**
   * By key prefix: the table revision up to which the changes of the rows with
   * this prefix have been applied.
   */
  revisions: Map<string, number>;
  /** Monotonic time of the latest successful poll of the platform, in ms. */
  lastResponseAtMs: number;
  /** Whether the latest poll of the platform succeeded. */
  isPlatformReachable: boolean;
  /** By entry name: sends a message to an entry that is subscribed to the view. */
  watchers: Map<string, (message: ViewMessage) => void>;
  stopped: boolean;
};
