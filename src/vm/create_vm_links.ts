import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { computeSuccessorOrder } from "./compute_successor_order.ts";
import type { LinkedVm } from "./linked_vm.ts";
import type { VmLink } from "./vm_link.ts";

/** A lost VM is no longer listed after this time, and its endpoints are reclaimed, in ms. */
const LOST_VM_RETENTION_MS = 15_000;
/** A lost VM may be in solo mode for this long, in ms: longer than VMs are cut off. */
const SOLO_VM_RETENTION_MS = 60_000;

/** Creates the record of a scheduler's links to VMs, and of the VMs that lost their link or have not linked yet. */
export function createVmLinks(
  /** The scheduler's own VM. */
  own: LinkedVm,
  /** The other VMs known at the start: they count as lost until they link. */
  knownVms: LinkedVm[],
): {
  find(vm: string): VmLink | undefined;
  list(): VmLink[];
  count(): number;
  /** Records a link, in place of an earlier one of the same VM. */
  add(vm: string, link: VmLink): void;
  remove(vm: string): void;
  /** Records that a VM has reported, so that it does not count as lost. */
  recordReport(vm: string): void;
  /** Records that the link to a VM was lost; draining and guest VMs do not count as lost. */
  recordLoss(vm: string, link: VmLink): void;
  /** Lists the names of the VMs that may take the role over, the best first. */
  listSuccessors(): string[];
  /** Lists all VMs: successors first, the scheduler's own last, as it cannot be its own successor. */
  listVms(): LinkedVm[];
  /** Counts the lost VMs that may be in solo mode. */
  countSoloVms(nowMs: number): number;
  /** Lists the data centres of the VMs that were lost recently. */
  listLostDataCentres(): Set<string>;
  /** Whether all VMs are linked and none reaches the store. A VM that had been lost for a while at `confirmedMs`, when the role was last confirmed, counts as gone. */
  isStoreLostForAll(confirmedMs: number): boolean;
} {
  const links = new Map<string, VmLink>();
  const lostVms = new Map(
    knownVms.map((vm) => [vm.name, { ...vm, lostMs: readMonotonicMs() }]),
  );

  function countLostVms(atMs: number, withinMs: number): number {
    return [...lostVms.values()].filter(({ lostMs }) =>
      atMs - lostMs < withinMs
    ).length;
  }

  /** Lists the VMs that lost their link recently or have not linked yet. Each may be in solo mode and use its share of the endpoints, which are divided among all VMs of `listVms`. */
  function listLostVms(): LinkedVm[] {
    const nowMs = readMonotonicMs();
    return [...lostVms.values()]
      .filter(({ name, lostMs }) =>
        !links.has(name) && nowMs - lostMs < LOST_VM_RETENTION_MS
      )
      .map(({ name, dataCentre, address }) => ({ name, dataCentre, address }));
  }

  function listSuccessors(): LinkedVm[] {
    return [...links]
      .flatMap(([name, { report }]) => report ? [{ ...report, name }] : [])
      .filter(({ name, isDraining, isGuest }) =>
        name !== own.name && !isDraining && !isGuest
      )
      .sort(computeSuccessorOrder)
      .map(({ name, dataCentre, address }) => ({ name, dataCentre, address }));
  }

  return {
    find: (vm) => links.get(vm),
    list: () => [...links.values()],
    count: () => links.size,
    add: (vm, link) => links.set(vm, link),
    remove: (vm) => links.delete(vm),
    recordReport: (vm) => lostVms.delete(vm),
    recordLoss: (vm, { report }) => {
      if (!report || report.isDraining || report.isGuest) return;
      const { dataCentre, address } = report;
      const lostMs = readMonotonicMs();
      lostVms.set(vm, { name: vm, dataCentre, address, lostMs });
    },
    listSuccessors: () => listSuccessors().map(({ name }) => name),
    listVms: () => [...listSuccessors(), ...listLostVms(), own],
    countSoloVms: (nowMs) => countLostVms(nowMs, SOLO_VM_RETENTION_MS),
    listLostDataCentres: () => {
      const nowMs = readMonotonicMs();
      const recent = [...lostVms.values()]
        .filter(({ lostMs }) => nowMs - lostMs < LOST_VM_RETENTION_MS);
      return new Set(recent.map(({ dataCentre }) => dataCentre));
    },
    isStoreLostForAll: (confirmedMs) => {
      const others = [...links].filter(([vm, { report }]) =>
        vm !== own.name && !report?.isGuest
      );
      return countLostVms(confirmedMs, LOST_VM_RETENTION_MS) === 0 &&
        others.length > 0 &&
        others.every(([, { report }]) => report?.isStoreReachable === false);
    },
  };
}
