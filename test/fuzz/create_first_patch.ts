/** Creates the patch that makes the first version of the simulation's configuration: two data centres with three shards, two clients and five endpoints. */
export function createFirstPatch(
  policy: object = {},
): Record<string, unknown> {
  const tokenDigest = "0".repeat(64);
  const endpoint = (id: string, dataCentre: string) => ({
    url: `http://127.0.0.1/${id}`,
    dataCentre,
    services: ["proof"],
    slots: 4,
  });
  return {
    dataCentres: { north: { shards: 2 }, south: { shards: 1 } },
    clients: {
      guild: { tokenDigest, homeDataCentre: "north" },
      rooms: { tokenDigest, homeDataCentre: "south" },
    },
    endpoints: {
      n0: endpoint("n0", "north"),
      n1: endpoint("n1", "north"),
      n2: endpoint("n2", "north"),
      s0: endpoint("s0", "south"),
      s1: endpoint("s1", "south"),
    },
    policy: { leaseMs: 3_000, clockSkewMs: 100, ...policy },
  };
}
