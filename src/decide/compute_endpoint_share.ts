import type { EndpointRow } from "../scheduler/endpoint_row.ts";

/**
 * Computes the endpoints that a VM may use while it reaches no scheduler: an
 * even part of its data centre's. Load it answers: a VM or a data centre that
 * is cut off, whose callers still come. Every VM computes the same parts, so
 * those of different VMs never overlap.
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
  const order = [...names].sort();
  const place = order.indexOf(vm.name);
  return rows
    .filter((row) => row.dataCentre === vm.dataCentre)
    .sort((one, other) => (one.id < other.id ? -1 : 1))
    .filter((_, index) => index % order.length === place);
}
