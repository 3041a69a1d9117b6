import type { Scenario } from "./scenario.ts";

/** Both users' back ends: 30 instances of 8 slots, bought over years. */
const MIXED_ENDPOINTS = [
  { count: 10, slots: 8, slowness: 0.7 },
  { count: 10, slots: 8, slowness: 1 },
  { count: 10, slots: 8, slowness: 1.5 },
];

const BASE: Omit<Scenario, "name" | "about" | "load"> = {
  durationMs: 12_000,
  jobs: "mixed",
  entries: 4,
  shards: 1,
  endpoints: MIXED_ENDPOINTS,
};

/** Every scenario that the bench knows. */
export const scenarios: Scenario[] = [
  {
    ...BASE,
    name: "idle",
    about: "one 200 ms task at a time: what the path itself costs",
    load: 0.02,
    jobs: "single200",
    endpoints: [{ count: 30, slots: 8, slowness: 1 }],
  },
  { ...BASE, name: "steady50", about: "half of the capacity", load: 0.5 },
  { ...BASE, name: "steady80", about: "80 % of the capacity", load: 0.8 },
  { ...BASE, name: "steady95", about: "95 % of the capacity", load: 0.95 },
  {
    ...BASE,
    name: "burst",
    about: "half of the capacity, and 300 jobs at once after 4 s",
    load: 0.5,
    faults: [{ atMs: 4_000, act: "burst" }],
  },
  {
    ...BASE,
    name: "stragglers",
    about: "three endpoints turn five times slower after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, act: "slowEndpoints" }],
  },
  {
    ...BASE,
    name: "blackHole",
    about: "one endpoint fails every task at once after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, act: "failEndpoint" }],
  },
  {
    ...BASE,
    name: "refusing",
    about: "three endpoints refuse everything after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, act: "refuseEndpoints" }],
  },
  {
    ...BASE,
    name: "leaving",
    about: "three endpoints are marked as leaving after 4 s",
    load: 0.6,
    faults: [{ atMs: 4_000, act: "leaveEndpoints" }],
  },
  {
    ...BASE,
    name: "wrongDeclarations",
    about: "declared run times are off by up to 10 times either way",
    load: 0.8,
    declaredFactor: 10,
  },
  {
    ...BASE,
    name: "neverRunnable",
    about: "a fifth of the jobs can never run",
    load: 0.6,
    neverRunnableShare: 0.2,
  },
  {
    ...BASE,
    name: "cancelWave",
    about: "a third of the jobs is cancelled half way",
    load: 0.8,
    cancelShare: 0.33,
  },
  {
    ...BASE,
    name: "overload",
    about: "1.5 times the capacity, from clients that come back when told to",
    load: 1.5,
    retries: true,
    deadlineMs: 10_000,
  },
  {
    ...BASE,
    name: "flood",
    about: "half of the capacity, and a second client that sends twice it",
    load: 0.5,
    flooding: 2,
  },
  {
    ...BASE,
    name: "entryKilled",
    about: "the entry that holds the first shard is killed after 4 s",
    load: 0.5,
    shards: 4,
    faults: [{ atMs: 4_000, act: "killEntry" }],
  },
  {
    ...BASE,
    name: "platformSlow",
    about: "the platform takes 100 ms longer for every call after 4 s",
    load: 0.5,
    faults: [{ atMs: 4_000, act: "slowPlatform" }],
  },
  {
    ...BASE,
    name: "platformDown",
    about: "the platform is down from 4 s to 9 s",
    load: 0.5,
    faults: [
      { atMs: 4_000, act: "platformDown" },
      { atMs: 9_000, act: "platformUp" },
    ],
  },
  {
    ...BASE,
    name: "throughput",
    about: "as many tiny tasks as one entry can start",
    load: 0.5,
    jobs: "tiny",
    entries: 1,
    endpoints: [{ count: 4, slots: 200, slowness: 1 }],
  },
];
