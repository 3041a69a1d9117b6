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
  /** Number of shards into which the keys and endpoints of the data centre are divided. @default 1 */
  shards: z.int().min(1).max(64).default(1),
});

const client = z.strictObject({
  /** SHA-256 of the client's token, in hexadecimal. */
  tokenDigest: digest,
  /** The data centre whose entries own this client's jobs. */
  homeDataCentre: identifier,
  /** Relative share of the endpoints that the client gets when clients compete. @default 1 */
  weight: z.number().positive().max(1000).default(1),
  /** Maximum number of the client's tasks that are queued or running, per shard. @default 10000 */
  maxTasks: z.int().min(1).default(10_000),
  /** Whether all new jobs of the client are refused. @default false */
  suspended: z.boolean().default(false),
});

const operator = z.strictObject({
  /** SHA-256 of the operator's token, in hexadecimal. */
  tokenDigest: digest,
});

const endpoint = z.strictObject({
  /** URL to which tasks are posted, with an IP address. */
  url: z.url({ protocol: /^http$/ }),
  /** The data centre whose entries send tasks to the endpoint. */
  dataCentre: identifier,
  /** The services the endpoint can serve. */
  services: z.array(identifier).min(1),
  /** Number of tasks that the endpoint runs at once. @default 8 */
  slots: z.int().min(1).max(1024).default(8),
  /** Number of connections that the endpoint accepts from all processes together. @default 64 */
  connections: z.int().min(1).max(4096).default(64),
  /** Whether the endpoint is being removed: no new task is sent to it. @default false */
  leaving: z.boolean().default(false),
});

const policy = z.strictObject({
  /** How the endpoint of a task is chosen. @default "sharedQueueFastest" */
  routing: z.enum([
    "random",
    "roundRobin",
    "powerOfTwo",
    "leastExpectedWork",
    "sharedQueue",
    "sharedQueueFastest",
  ]).default("sharedQueueFastest"),
  /** Whether a repeatable task that ran and failed is run again (`repeatable`) or not (`never`). @default "repeatable" */
  retryAfterFailure: z.enum(["repeatable", "never"]).default("repeatable"),
  /** Maximum number of attempts of one task. @default 3 */
  maxAttempts: z.int().min(1).max(10).default(3),
  /** Number of retries that each first attempt allows, on average over time. @default 0.1 */
  retryRatio: z.number().min(0).max(1).default(0.1),
  /** Maximum estimated queueing time of a job that is admitted, in ms. @default 5000 */
  maxQueueMs: z.int().min(1).default(5_000),
  /** Number of consecutive failures after which an endpoint is ejected. @default 3 */
  ejectAfter: z.int().min(1).default(3),
  /** Duration of the first ejection of an endpoint, in ms; it doubles with each further ejection. @default 2000 */
  ejectMs: z.int().min(1).default(2_000),
  /** A running task is cancelled only when its expected remaining run time is at least this, in ms. @default 500 */
  cancelWorthMs: z.int().min(0).default(500),
  /** Time after which a process lease expires unless it is renewed, in ms. @default 10000 */
  leaseMs: z.int().min(1000).max(3_600_000).default(10_000),
  /** Whether a process whose address refuses connections counts as dead before its lease has expired. @default true */
  takeOverRefused: z.boolean().default(true),
  /** Maximum difference between the clocks of the platform and of any two entry VMs, in ms. @default 500 */
  clockSkewMs: z.int().min(0).max(60_000).default(500),
  /** Retention of submission ids, in ms. @default 3600000 */
  retentionMs: z.int().min(60_000).default(3_600_000),
  /** Maximum number of transactions per second that all processes together write. @default 200 */
  writesPerSecond: z.number().positive().default(200),
  /** Whether a job with a recently created id may start without a durable claim while the process is cut off from the platform. @default true */
  serveCutOff: z.boolean().default(true),
});

/** The schema of the content of a configuration version. */
export const configurationSchema = z.strictObject({
  dataCentres: z.record(identifier, dataCentre),
  clients: z.record(identifier, client).default({}),
  operators: z.record(identifier, operator).default({}),
  endpoints: z.record(identifier, endpoint).default({}),
  policy: policy.default(policy.parse({})),
});
