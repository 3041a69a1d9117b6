import type { LinkedVm } from "./linked_vm.ts";

/** A VM that schedulers no longer list is dropped after this time, in ms: longer than a VM is cut off or takes to restart. */
const REMOVED_VM_RETENTION_MS = 60_000;

type Peer = LinkedVm & {
  /** Since when schedulers have not listed the VM, in ms; undefined while they list it. */
  unlistedSinceMs?: number;
};

/**
 * Creates the list of VMs that schedulers have listed, for use while there is
 * no scheduler. The list keeps VMs that were not linked when a scheduler last
 * sent its list.
 */
export function createPeerList(): {
  update(vms: LinkedVm[], nowMs: number): void;
  list(): LinkedVm[];
} {
  const peers = new Map<string, Peer>();
  return {
    update: (vms, nowMs) => {
      const names = new Set(vms.map(({ name }) => name));
      for (const vm of vms) peers.set(vm.name, { ...vm });
      for (const [name, peer] of peers) {
        if (names.has(name)) continue;
        peer.unlistedSinceMs ??= nowMs;
        if (nowMs - peer.unlistedSinceMs > REMOVED_VM_RETENTION_MS) {
          peers.delete(name);
        }
      }
    },
    list: () =>
      [...peers.values()].map(({ name, dataCentre, address }) => ({
        name,
        dataCentre,
        address,
      })),
  };
}
