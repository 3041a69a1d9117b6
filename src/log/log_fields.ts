/** Fields that a log line of entry and control may have. Payloads and tokens are never logged. */
export type LogFields = {
  job?: string;
  task?: string;
  endpoint?: string;
  client?: string;
  version?: number;
  shard?: number;
  epoch?: number;
  process?: string;
  operator?: string;
  kind?: string;
  message?: string;
  address?: string;
  durationMs?: number;
  count?: number;
};
