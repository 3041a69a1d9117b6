import { chooseHolders } from "./choose_holders.ts";
import { isLeaseExpired } from "./is_lease_expired.ts";
import type { TableRow } from "../../store/table_row.ts";
import type { LeaseRow } from "./lease_row.ts";
import type { OwnershipAction } from "./ownership_action.ts";
import type { OwnershipView } from "./ownership_view.ts";

/** Decides which shards of its data centre a process acquires and which it hands over. */
export function decideOwnership(
  view: OwnershipView,
  self: { name: string; dataCentre: string; leaving: boolean },
  options: { shards: number; platformNowMs: number },
): OwnershipAction[] {
  const eligibleHolders = findEligibleHolders(
    view,
    self,
    options.platformNowMs,
  );
  if (eligibleHolders.length === 0) return [];
  const preferred = chooseHolders(options.shards, eligibleHolders);
  const actions: OwnershipAction[] = [];
  for (let shard = 0; shard < options.shards; shard += 1) {
    const action = decideShard(view, self, {
      shard,
      preferred: preferred[shard],
      platformNowMs: options.platformNowMs,
    });
    if (action) actions.push(action);
  }
  return actions;
}

/** Finds the processes of the data centre that may hold shards, with their weights: live ones that are not leaving. */
function findEligibleHolders(
  view: OwnershipView,
  self: { name: string; dataCentre: string; leaving: boolean },
  platformNowMs: number,
): { name: string; weight: number }[] {
  return [...view.leases]
    .filter(([name, row]) => {
      const { dataCentre, state, address } = row.value;
      if (name === self.name) return !self.leaving;
      if (dataCentre !== self.dataCentre || state !== "live") return false;
      const host = address.slice(0, address.lastIndexOf(":"));
      if (view.leavingAddresses.includes(host)) return false;
      return isLive(view, row, platformNowMs);
    })
    .map(([name, row]) => ({ name, weight: row.value.weight }));
}

function decideShard(
  view: OwnershipView,
  self: { name: string; dataCentre: string },
  options: { shard: number; preferred: string; platformNowMs: number },
): OwnershipAction | undefined {
  const { shard, preferred, platformNowMs } = options;
  const row = view.shards.get(`${self.dataCentre}/${shard}`);
  if (!row) {
    return preferred === self.name ? { type: "acquire", shard } : undefined;
  }
  const { holder, incarnation } = row.value;
  const ownIncarnation = view.leases.get(self.name)?.value.incarnation;
  if (holder === self.name && incarnation === ownIncarnation) {
    if (preferred === self.name) return undefined;
    return { type: "handOver", shard, to: preferred };
  }
  if (preferred !== self.name) return undefined;
  const lease = view.leases.get(holder);
  const isRestarted = lease?.value.incarnation !== incarnation;
  if (!lease || isRestarted || !isLive(view, lease, platformNowMs)) {
    return { type: "acquire", shard, from: holder };
  }
  return undefined;
}

function isLive(
  view: OwnershipView,
  lease: TableRow<LeaseRow>,
  platformNowMs: number,
): boolean {
  if (view.confirmedDead.has(lease.value.incarnation)) return false;
  return !isLeaseExpired(lease, platformNowMs);
}
