import type { Scenario } from "./scenario.ts";

/** Endpoints like those of both users: 30 instances of 8 slots and, because they were bought over years, of different speed. */
const MIXED_ENDPOINTS = [
  { count: 10, slots: 8, slowness: 0.7 },
  { count: 10, slots: 8, slowness: 1 },
  { count: 10, slots: 8, slowness: 1.5 },
];

const BASE: Omit<Scenario, "name" | "description" | "load"> = {
  durationMs: 12_000,
  jobs: "mixed",
  entries: 4,
  shards: 1,
  endpoints: MIXED_ENDPOINTS,
};

/** Every scenario of the benchmark. */
export const scenarios: Scenario[] = [
  {
    ...BASE,
    name: "idle",
    description: "one 200 ms task at a time: overhead of the request path",
    load: 0.02,
    jobs: "single200",
    endpoints: [{ count: 30, slots: 8, slowness: 1 }],
  },
  { ...BASE, name: "steady50", description: "half of the capacity", load: 0.5 },
  { ...BASE, name: "steady80", description: "80 % of the capacity", load: 0.8 },
  {
    ...BASE,
    name: "steady95",
    description: "95 % of the capacity",
    load: 0.95,
  },
  {
    ...BASE,
    name: "burst",
    description: "half of the capacity, and 300 jobs at once after 4 s",
    load: 0.5,
    faults: [{ atMs: 4_000, type: "burst" }],
  },
  {
    ...BASE,
    name: "stragglers",
    description: "three endpoints become five times slower after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, type: "slowEndpoints" }],
  },
  {
    ...BASE,
    name: "blackHole",
    description: "one endpoint fails every task immediately after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, type: "failEndpoint" }],
  },
  {
    ...BASE,
    name: "refusing",
    description: "three endpoints refuse everything after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, type: "refuseEndpoints" }],
  },
  {
    ...BASE,
    name: "leaving",
    description: "three endpoints are marked as leaving after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, type: "leaveEndpoints" }],
  },
  {
    ...BASE,
    name: "wrongDeclarations",
    description: "declared run times are wrong by a factor of up to 10",
    load: 0.8,
    maxDeclaredErrorFactor: 10,
  },
  {
    ...BASE,
    name: "neverRunnable",
    description: "a fifth of the jobs can never run",
    load: 0.6,
    neverRunnableShare: 0.2,
  },
  {
    ...BASE,
    name: "cancelWave",
    description: "a third of the jobs are cancelled within 400 ms",
    load: 0.8,
    cancelShare: 0.33,
  },
  {
    ...BASE,
    name: "overload",
    description: "1.5 times the capacity, from clients that retry refused jobs",
    load: 1.5,
    retriesOverloaded: true,
    deadlineMs: 10_000,
  },
  {
    ...BASE,
    name: "flood",
    description:
      "half of the capacity, and a second client that sends twice the capacity",
    load: 0.5,
    floodLoad: 2,
  },
  {
    ...BASE,
    name: "entryKilled",
    description: "the entry that holds the first shard is killed after 4 s",
    load: 0.5,
    shards: 4,
    faults: [{ atMs: 4_000, type: "killEntry" }],
  },
  {
    ...BASE,
    name: "platformSlow",
    description: "the platform takes 100 ms longer for every call after 4 s",
    load: 0.5,
    faults: [{ atMs: 4_000, type: "slowPlatform" }],
  },
  {
    ...BASE,
    name: "platformDown",
    description: "the platform is down from 4 s to 9 s",
    load: 0.5,
    faults: [
      { atMs: 4_000, type: "platformDown" },
      { atMs: 9_000, type: "platformUp" },
    ],
  },
  {
    ...BASE,
    name: "throughput",
    description: "as many tiny tasks as one entry can start",
    load: 0.5,
    jobs: "tiny",
    entries: 1,
    endpoints: [{ count: 4, slots: 200, slowness: 1 }],
  },
];
