import type { EndpointRow } from "../scheduler/endpoint_row.ts";

/**
 * Computes the endpoints that a VM may use in solo mode, that is while it
 * reaches no scheduler: an equal share of the endpoints of its data centre.
 * This lets a VM or data centre that is cut off still run its callers' jobs.
 * The share follows from the sorted lists of VMs and endpoints, so that the
 * shares of VMs with the same lists do not overlap.
 */
export function computeEndpointShare(
  rows: EndpointRow[],
  vm: { name: string; dataCentre: string },
  vms: { name: string; dataCentre: string }[],
): EndpointRow[] {
  const names = new Set(
    vms.filter((other) => other.dataCentre === vm.dataCentre)
      .map((other) => other.name),
  );
  names.add(vm.name);
  const sorted = [...names].sort();
  const position = sorted.indexOf(vm.name);
  return rows
    .filter((row) => row.dataCentre === vm.dataCentre)
    .sort((one, other) => (one.id < other.id ? -1 : 1))
    .filter((_, index) => index % sorted.length === position);
}
