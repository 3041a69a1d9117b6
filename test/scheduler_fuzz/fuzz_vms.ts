import type { Evacuations } from "../../src/evacuation/evacuations.ts";
import type { Effect } from "../../src/scheduler/effect.ts";
import { canHaveStoredJobs } from "../../src/scheduler/can_have_stored_jobs.ts";
import type { JobOrder } from "../../src/scheduler/job_order.ts";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { parseTaskName } from "../../src/scheduler/parse_task_name.ts";
import { submitJob } from "../../src/scheduler/submit_job.ts";
import { computeFencingToken } from "../../src/vm/compute_fencing_token.ts";
import type { FuzzHost } from "./fuzz_host.ts";

/** Names of the VMs with callers. All are in the endpoints' data centre; the scheduler's VM is not among them. */
const VM_NAMES = ["vm0", "vm1", "vm2"];
/** A VM enters solo mode after this time without a scheduler. */
const SOLO_DELAY_MS = 700;
/** A VM regards a silent link as lost after this time. */
const SCHEDULER_TIMEOUT_MS = 350;
/** A scheduler regards a VM whose link is silent as lost after this time. */
const VM_TIMEOUT_MS = 600;
/** Pause before a VM opens a link again. */
const LINK_RETRY_DELAY_MS = 50;
/** Time from the start of a scheduler until the VMs submit their open jobs to it. */
const SUBMIT_DELAY_MS = 40;

type Vm = {
  name: string;
  link?: FuzzHost;
  solo?: FuzzHost;
  /** The earlier scheduler that the VM is linked to again. */
  earlier?: FuzzHost;
  /** Number of the VM's latest link to each scheduler that does not regard the VM as lost. */
  linkNumbers: Map<FuzzHost, number>;
  /** Number of faults that now prevent links of the VM to the scheduler. */
  linkOutages: number;
  /** Number of faults that now separate the VM from the store. */
  storeOutages: number;
  /** Latest epoch that the VM has learned of. */
  epoch: number;
  /** Whether the VM's last scheduler may have had stored jobs. */
  hasKeptJobs: boolean;
  /** What the VM's last scheduler knew of the evacuations. */
  evacuations?: Evacuations;
  /** How often the VM has lost a link; detects a loss between two events. */
  linkLosses: number;
};
type OpenJob = {
  order: JobOrder;
  vm: Vm;
  placed: Map<string, string>;
  done: Set<string>;
  /** Fencing token of the scheduler to which the job was submitted last, or 0. */
  submittedToken: number;
  /** Fencing token of the latest scheduler, other than the VM in solo mode, to which the job was submitted, or 0. */
  scheduledToken: number;
  wasSolo: boolean;
};

/** Simulated VMs whose callers wait for best-effort jobs: their links, the jobs that they submit, and their solo mode. */
export class FuzzVms {
  readonly openJobs = new Map<string, OpenJob>();
  #world: VmWorld;
  #linkCount = 0;
  #vms: Vm[] = VM_NAMES.map((name) => ({
    name,
    linkNumbers: new Map(),
    linkOutages: 0,
    storeOutages: 0,
    epoch: 0,
    hasKeptJobs: true,
    linkLosses: 0,
  }));

  constructor(world: VmWorld) {
    this.#world = world;
  }

  submit(order: JobOrder, index: number): void {
    const job = {
      order,
      vm: this.#vms[index % this.#vms.length],
      placed: new Map(),
      done: new Set<string>(),
      submittedToken: 0,
      scheduledToken: 0,
      wasSolo: false,
    };
    this.openJobs.set(order.id, job);
    this.#submitToLink(job);
  }

  /** Links all VMs that have no outage to a scheduler that starts, and submits their open jobs to it. */
  linkAll(host: FuzzHost): void {
    for (const vm of this.#vms) if (!vm.solo) this.#attach(vm, host);
    this.#world.runAfter(SUBMIT_DELAY_MS, () => {
      if (this.#world.findCurrent() !== host) return;
      for (const vm of this.#vms) this.#attach(vm, host);
      this.#submitAll((vm) => vm.link === host);
    });
  }

  /** Ends all links to a scheduler on the side of the VMs. */
  dropLinks(host: FuzzHost): void {
    for (const vm of this.#vms) if (vm.link === host) this.#drop(vm);
  }

  /** Makes a scheduler that was cut off regard all its VMs as lost. */
  loseAll(host: FuzzHost): void {
    for (const vm of this.#vms) {
      this.#lose(vm, { host, number: vm.linkNumbers.get(host), how: "silent" });
    }
  }

  /** Ends all VMs and their jobs, and starts the VMs again without links. */
  losePower(): void {
    this.openJobs.clear();
    for (const vm of this.#vms) {
      this.#endSolo(vm);
      vm.link = undefined;
      vm.earlier = undefined;
      vm.linkLosses += 1;
      vm.linkNumbers.clear();
    }
  }

  /** Whether a scheduler regards no VM as lost. */
  isLinkedToAll(host: FuzzHost): boolean {
    return this.#vms.every(({ linkNumbers }) => linkNumbers.has(host));
  }

  /** Separates a VM from the scheduler for `forMs`. A silent outage leaves the link open and separates the VM from the store too; otherwise the link is closed. */
  breakLink(index: number, outage: { isSilent: boolean; forMs: number }): void {
    const { isSilent, forMs } = outage;
    const vm = this.#vms[index % this.#vms.length];
    const { link } = vm;
    // The connection resends what is lost in an outage shorter than the time-out.
    if (isSilent && forMs < SCHEDULER_TIMEOUT_MS) return;
    vm.linkOutages += 1;
    if (isSilent) vm.storeOutages += 1;
    if (!link) this.#awaitSolo(vm);
    else if (link !== vm.solo) this.#breakLink(vm, { host: link, isSilent });
    this.#world.runAfter(forMs, () => {
      vm.linkOutages -= 1;
      if (isSilent) vm.storeOutages -= 1;
      this.#world.runAfter(LINK_RETRY_DELAY_MS, () => this.#reconnect(vm));
    });
  }

  /** Links a VM to an earlier scheduler for `forMs`. */
  linkToEarlier(index: number, forMs: number): void {
    const vm = this.#vms[index % this.#vms.length];
    const { link } = vm;
    const earlier = this.#world.findEarlier();
    if (!earlier || !link || link === vm.solo || vm.linkOutages > 0) return;
    vm.linkOutages += 1;
    this.#breakLink(vm, { host: link, isSilent: false });
    this.#world.runAfter(LINK_RETRY_DELAY_MS, () => {
      if (!earlier.isAlive || vm.link) return;
      vm.earlier = earlier;
      this.#setLink(vm, earlier);
      this.#submitAll((one) => one === vm);
    });
    this.#world.runAfter(forMs, () => {
      vm.linkOutages -= 1;
      if (vm.link === earlier) {
        this.#breakLink(vm, { host: earlier, isSilent: false });
      }
      vm.earlier = undefined;
      this.#world.runAfter(LINK_RETRY_DELAY_MS, () => this.#reconnect(vm));
    });
  }

  receiveEffect(host: FuzzHost, effect: Effect): void {
    if (!("vms" in effect)) return;
    for (const name of effect.vms) {
      const vm = this.#vms.find((one) => one.name === name) as Vm;
      if (vm.link === host && this.#isReachable(vm)) {
        this.#applyEffect(vm, effect);
      }
    }
  }

  #applyEffect(vm: Vm, effect: Extract<Effect, { vms: string[] }>): void {
    if (effect.type === "notifyPlaced") {
      this.#findOpen(vm, effect.task)?.placed.set(
        effect.task,
        effect.endpointId,
      );
    } else if (effect.type === "notifyDone") {
      this.#findOpen(vm, effect.task)?.done.add(effect.task);
    } else if (effect.type === "notifyEnded") {
      if (this.openJobs.get(effect.jobId)?.vm !== vm) return;
      this.openJobs.delete(effect.jobId);
      this.#world.receiveOutcome(effect.jobId, effect.outcome);
    }
  }

  #findOpen(vm: Vm, task: string): OpenJob | undefined {
    const job = this.openJobs.get(parseTaskName(task)?.jobId ?? "");
    return job?.vm === vm ? job : undefined;
  }

  /** Whether messages on the VM's link arrive. */
  #isReachable(vm: Vm): boolean {
    return vm.linkOutages === 0 || vm.link === vm.solo ||
      vm.link === vm.earlier;
  }

  /** Submits a job to the VM's scheduler by the rules of createOpenJobs in src/vm. */
  #submitToLink(job: OpenJob): void {
    const { vm, submittedToken } = job;
    const { link } = vm;
    if (!link) return;
    const { token } = link.state;
    const { wasSolo } = job;
    // An earlier scheduler must not get a job that a later one has had.
    if (link !== vm.solo && token < job.scheduledToken) return;
    job.submittedToken = token;
    job.wasSolo ||= link === vm.solo;
    if (link !== vm.solo) job.scheduledToken = token;
    if (!this.#isReachable(vm)) return;
    const progress = {
      isResubmitted: submittedToken !== 0,
      wasSolo,
      done: [...job.done],
      placed: [...job.placed].map(([task, endpointId]) => ({
        task,
        endpointId,
      })),
    };
    link.applyDecision((nowMs) =>
      submitJob(link.state, job.order, { vm: vm.name, nowMs, progress })
    );
  }

  #submitAll(isIncluded: (vm: Vm) => boolean): void {
    for (const job of this.openJobs.values()) {
      if (isIncluded(job.vm)) this.#submitToLink(job);
    }
  }

  #attach(vm: Vm, host: FuzzHost): void {
    if (vm.linkOutages > 0 || vm.link === host) return;
    this.#endSolo(vm);
    this.#setLink(vm, host);
  }

  #setLink(vm: Vm, host: FuzzHost): void {
    vm.link = host;
    this.#linkCount += 1;
    vm.linkNumbers.set(host, this.#linkCount);
  }

  #reconnect(vm: Vm): void {
    const host = this.#world.findCurrent();
    if (!host || vm.linkOutages > 0 || vm.link === host) return;
    this.#attach(vm, host);
    this.#submitAll((one) => one === vm);
  }

  #breakLink(vm: Vm, broken: { host: FuzzHost; isSilent: boolean }): void {
    const { host, isSilent } = broken;
    const number = vm.linkNumbers.get(host);
    vm.epoch = this.#world.readEpoch();
    if (!isSilent) {
      this.#drop(vm);
      this.#lose(vm, { host, number, how: "closed" });
      return;
    }
    this.#world.runAfter(SCHEDULER_TIMEOUT_MS, () => {
      const isSame = vm.linkNumbers.get(host) === number;
      if (vm.link === host && isSame) this.#drop(vm);
    });
    this.#world.runAfter(
      VM_TIMEOUT_MS,
      () => this.#lose(vm, { host, number, how: "silent" }),
    );
  }

  /** Ends a link on the VM's side. */
  #drop(vm: Vm): void {
    if (vm.link) {
      vm.hasKeptJobs = canHaveStoredJobs(vm.link.state);
      vm.evacuations = vm.link.state.evacuations;
    }
    vm.link = undefined;
    vm.linkLosses += 1;
    // Without an outage a takeover gives the VM a scheduler before solo mode would begin.
    if (vm.linkOutages > 0) this.#awaitSolo(vm);
  }

  /** Ends a link on the scheduler's side, unless the VM has opened another one since. */
  #lose(
    vm: Vm,
    lost: { host: FuzzHost; number?: number; how: "closed" | "silent" },
  ): void {
    const { host, number, how } = lost;
    if (number === undefined || vm.linkNumbers.get(host) !== number) return;
    vm.linkNumbers.delete(host);
    host.applyDecision((nowMs) => dropVm(host.state, vm.name, { how, nowMs }));
  }

  #awaitSolo(vm: Vm): void {
    const { linkLosses } = vm;
    this.#world.runAfter(SOLO_DELAY_MS, () => {
      if (!vm.link && vm.linkLosses === linkLosses) this.#beginSolo(vm);
    });
  }

  #beginSolo(vm: Vm): void {
    if (vm.storeOutages === 0) vm.epoch = this.#world.readEpoch();
    const number = 1 + VM_NAMES.indexOf(vm.name);
    vm.solo = this.#world.beginSolo({
      name: vm.name,
      vmNames: VM_NAMES,
      token: computeFencingToken(vm.epoch, number),
      hasKeptJobs: vm.hasKeptJobs,
      evacuations: vm.evacuations,
      canReachStore: () => vm.storeOutages === 0,
    });
    vm.link = vm.solo;
    this.#submitAll((one) => one === vm);
  }

  #endSolo(vm: Vm): void {
    if (!vm.solo) return;
    vm.solo.isAlive = false;
    vm.solo = undefined;
    vm.link = undefined;
    vm.linkLosses += 1;
  }
}

/** The simulated environment of the VMs. */
type VmWorld = {
  runAfter(afterMs: number, run: () => void): void;
  findCurrent(): FuzzHost | undefined;
  /** The scheduler that was replaced last, if it is still running. */
  findEarlier(): FuzzHost | undefined;
  readEpoch(): number;
  beginSolo(solo: {
    name: string;
    vmNames: string[];
    token: number;
    hasKeptJobs: boolean;
    evacuations: Evacuations | undefined;
    canReachStore: () => boolean;
  }): FuzzHost;
  receiveOutcome(jobId: string, outcome: JobOutcome): void;
};
