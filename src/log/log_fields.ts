/** Fields that a log line may carry; never a payload or a token. */
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
