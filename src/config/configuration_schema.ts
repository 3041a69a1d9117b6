import { z } from "zod";

const identifier = z.string().regex(
  /^[A-Za-z0-9_-]{1,64}$/,
  "use 1 to 64 letters, digits, '-' or '_'",
);
const digest = z.string().regex(
  /^[0-9a-f]{64}$/,
  "give the SHA-256 of the token as 64 hexadecimal digits",
);

const dataCentre = z.strictObject({
  /** Into how many shards the keys and endpoints of the data centre are split. @default 1 */
  shards: z.int().min(1).max(64).default(1),
});

const client = z.strictObject({
  /** SHA-256 of the client's token, hexadecimal. */
  tokenDigest: digest,
  /** The data centre whose entries own this client's jobs. */
  homeDataCentre: identifier,
  /** Share of the endpoints when clients compete. @default 1 */
  weight: z.number().positive().max(1000).default(1),
  /** Tasks the client may have queued or running, per shard. @default 10000 */
  maxTasks: z.int().min(1).default(10_000),
  /** Refuse all new jobs of the client. @default false */
  suspended: z.boolean().default(false),
});

const operator = z.strictObject({
  /** SHA-256 of the operator's token, hexadecimal. */
  tokenDigest: digest,
});

const endpoint = z.strictObject({
  /** Where tasks are posted, with an IP address. */
  url: z.url({ protocol: /^http$/ }),
  /** The data centre whose entries send to the endpoint. */
  dataCentre: identifier,
  /** The services the endpoint can serve. */
  services: z.array(identifier).min(1),
  /** Tasks the endpoint runs at once. @default 8 */
  slots: z.int().min(1).max(1024).default(8),
  /** Connections the endpoint takes from the whole system. @default 64 */
  connections: z.int().min(1).max(4096).default(64),
  /** Send no new task to the endpoint. @default false */
  leaving: z.boolean().default(false),
});

const policy = z.strictObject({
  /** How a task is given to an endpoint. @default "sharedQueueFastest" */
  routing: z.enum([
    "random",
    "roundRobin",
    "powerOfTwo",
    "leastExpectedWork",
    "sharedQueue",
    "sharedQueueFastest",
  ]).default("sharedQueueFastest"),
  /** Whether a repeatable task that ran and failed is run again. @default "repeatable" */
  retryAfterFailure: z.enum(["repeatable", "never"]).default("repeatable"),
  /** Most attempts of one task. @default 3 */
  maxAttempts: z.int().min(1).max(10).default(3),
  /** Retries allowed per first attempt, over time. @default 0.1 */
  retryRatio: z.number().min(0).max(1).default(0.1),
  /** Longest estimated wait that admission accepts, in ms. @default 5000 */
  maxQueueMs: z.int().min(1).default(5_000),
  /** Failures in a row that eject an endpoint. @default 3 */
  ejectAfter: z.int().min(1).default(3),
  /** First time an ejected endpoint rests, in ms; doubles each time. @default 2000 */
  ejectMs: z.int().min(1).default(2_000),
  /** Cancel a running task only when at least this much is expected to be left, in ms. @default 500 */
  cancelWorthMs: z.int().min(0).default(500),
  /** How long a process lease lasts without renewal, in ms. @default 10000 */
  leaseMs: z.int().min(1000).max(3_600_000).default(10_000),
  /** Take a process whose address refuses connections for dead, before its lease ends. @default true */
  takeOverRefused: z.boolean().default(true),
  /** How far the clocks of the platform and of any two entry VMs may be apart, in ms. @default 500 */
  clockSkewMs: z.int().min(0).max(60_000).default(500),
  /** How long a submission id is remembered, in ms. @default 3600000 */
  retentionMs: z.int().min(60_000).default(3_600_000),
  /** Transactions a second that all processes together may write. @default 200 */
  writesPerSecond: z.number().positive().default(200),
  /** Serve young ids from memory while the platform is out of reach. @default true */
  serveCutOff: z.boolean().default(true),
});

/** The schema of a configuration version; each option names its default. */
export const configurationSchema = z.strictObject({
  dataCentres: z.record(identifier, dataCentre),
  clients: z.record(identifier, client).default({}),
  operators: z.record(identifier, operator).default({}),
  endpoints: z.record(identifier, endpoint).default({}),
  policy: policy.default(policy.parse({})),
});
