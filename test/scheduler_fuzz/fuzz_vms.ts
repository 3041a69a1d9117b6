import type { Effect } from "../../src/scheduler/effect.ts";
import { canHaveStoredJobs } from "../../src/scheduler/can_have_stored_jobs.ts";
import type { JobOrder } from "../../src/scheduler/job_order.ts";
import type { JobOutcome } from "../../src/scheduler/job_outcome.ts";
import { dropVm } from "../../src/scheduler/drop_vm.ts";
import { parseTaskName } from "../../src/scheduler/parse_task_name.ts";
import { submitJob } from "../../src/scheduler/submit_job.ts";
import { computeFencingToken } from "../../src/vm/compute_fencing_token.ts";
import type { FuzzHost } from "./fuzz_host.ts";

/** Names of the VMs, all of the endpoints' data centre; the scheduler's own is elsewhere. */
const NAMES = ["vm0", "vm1", "vm2"];
/** A VM without a scheduler serves alone after this, in ms. */
const SOLO_MS = 700;
/** A VM takes a scheduler that it doesn't hear as lost after this, and the scheduler the VM, in ms. */
const SCHEDULER_SILENT_MS = 350;
const VM_SILENT_MS = 600;
/** Pause between two attempts at a link, and from a scheduler's begin until all jobs are handed in, in ms. */
const AGAIN_MS = 50;
const HAND_MS = 40;

type Vm = {
  name: string;
  link?: FuzzHost;
  solo?: FuzzHost;
  /** The replaced scheduler that it has gone back to. */
  former?: FuzzHost;
  /** Number of its latest link to each scheduler that has not taken it as lost. */
  attached: Map<FuzzHost, number>;
  /** How many troubles keep it from any scheduler. */
  cuts: number;
  /** How many of them keep it from the store as well. */
  storeCuts: number;
  /** Latest epoch that it was told, and whether there were stored jobs. */
  epoch: number;
  hasKeptJobs: boolean;
  /** How often it has lost its link. */
  losses: number;
};
type OpenJob = {
  order: JobOrder;
  vm: Vm;
  placed: Map<string, string>;
  done: Set<string>;
  /** Token of the scheduler that has it, or 0. */
  handedTo: number;
  /** Latest token of the schedulers that have had it, or 0. */
  scheduledToken: number;
  wasSolo: boolean;
};

/** The VMs whose callers wait: their links, the jobs that they hand in, and their serving alone. */
export class FuzzVms {
  readonly open = new Map<string, OpenJob>();
  #world: VmWorld;
  #links = 0;
  #vms: Vm[] = NAMES.map((name) => ({
    name,
    attached: new Map(),
    cuts: 0,
    storeCuts: 0,
    epoch: 0,
    hasKeptJobs: true,
    losses: 0,
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
      handedTo: 0,
      scheduledToken: 0,
      wasSolo: false,
    };
    this.open.set(order.id, job);
    this.#hand(job);
  }

  /** Links all VMs that can be to a scheduler that begins. */
  follow(host: FuzzHost): void {
    for (const vm of this.#vms) if (!vm.solo) this.#attach(vm, host);
    this.#world.later(HAND_MS, () => {
      if (this.#world.findCurrent() !== host) return;
      for (const vm of this.#vms) this.#attach(vm, host);
      this.#handAll((vm) => vm.link === host);
    });
  }

  /** A scheduler's links are cut. */
  dropLinks(host: FuzzHost): void {
    for (const vm of this.#vms) if (vm.link === host) this.#drop(vm);
  }

  /** A scheduler that was cut off takes its VMs as lost. */
  forget(host: FuzzHost): void {
    for (const vm of this.#vms) {
      this.#lose(vm, { host, number: vm.attached.get(host), how: "silent" });
    }
  }

  losePower(): void {
    this.open.clear();
    for (const vm of this.#vms) {
      this.#endSolo(vm);
      vm.link = undefined;
      vm.former = undefined;
      vm.losses += 1;
      vm.attached.clear();
    }
  }

  hasAll(host: FuzzHost): boolean {
    return this.#vms.every(({ attached }) => attached.has(host));
  }

  /** A VM reaches no scheduler for a while; silently, and then not the store either, or by a link that is closed. */
  cut(index: number, trouble: { isSilent: boolean; forMs: number }): void {
    const { isSilent, forMs } = trouble;
    const vm = this.#vms[index % this.#vms.length];
    const { link } = vm;
    // So short a silence is made up for by the connection.
    if (isSilent && forMs < SCHEDULER_SILENT_MS) return;
    vm.cuts += 1;
    if (isSilent) vm.storeCuts += 1;
    if (!link) this.#awaitSolo(vm);
    else if (link !== vm.solo) this.#breakLink(vm, { host: link, isSilent });
    this.#world.later(forMs, () => {
      vm.cuts -= 1;
      if (isSilent) vm.storeCuts -= 1;
      this.#world.later(AGAIN_MS, () => this.#reconnect(vm));
    });
  }

  /** A VM is linked for a while to a scheduler that was replaced. */
  goBack(index: number, forMs: number): void {
    const vm = this.#vms[index % this.#vms.length];
    const { link } = vm;
    const former = this.#world.findFormer();
    if (!former || !link || link === vm.solo || vm.cuts > 0) return;
    vm.cuts += 1;
    this.#breakLink(vm, { host: link, isSilent: false });
    this.#world.later(AGAIN_MS, () => {
      if (!former.isAlive || vm.link) return;
      vm.former = former;
      this.#setLink(vm, former);
      this.#handAll((one) => one === vm);
    });
    this.#world.later(forMs, () => {
      vm.cuts -= 1;
      if (vm.link === former) {
        this.#breakLink(vm, { host: former, isSilent: false });
      }
      vm.former = undefined;
      this.#world.later(AGAIN_MS, () => this.#reconnect(vm));
    });
  }

  told(host: FuzzHost, effect: Effect): void {
    if (!("vms" in effect)) return;
    for (const name of effect.vms) {
      const vm = this.#vms.find((one) => one.name === name) as Vm;
      if (vm.link === host && this.#isHeard(vm)) this.#hear(vm, effect);
    }
  }

  #hear(vm: Vm, effect: Extract<Effect, { vms: string[] }>): void {
    if (effect.type === "notifyPlaced") {
      this.#findOpen(vm, effect.task)?.placed.set(
        effect.task,
        effect.endpointId,
      );
    } else if (effect.type === "notifyDone") {
      this.#findOpen(vm, effect.task)?.done.add(effect.task);
    } else if (effect.type === "notifyEnded") {
      if (this.open.get(effect.jobId)?.vm !== vm) return;
      this.open.delete(effect.jobId);
      this.#world.answered(effect.jobId, effect.outcome);
    }
  }

  #findOpen(vm: Vm, task: string): OpenJob | undefined {
    const job = this.open.get(parseTaskName(task)?.jobId ?? "");
    return job?.vm === vm ? job : undefined;
  }

  /** Whether words on its link get through. */
  #isHeard(vm: Vm): boolean {
    return vm.cuts === 0 || vm.link === vm.solo || vm.link === vm.former;
  }

  /** As the product's open jobs do. */
  #hand(job: OpenJob): void {
    const { vm, handedTo } = job;
    const { link } = vm;
    if (!link) return;
    const { token } = link.state;
    const { wasSolo } = job;
    // What a later one has had.
    if (link !== vm.solo && token < job.scheduledToken) return;
    job.handedTo = token;
    job.wasSolo ||= link === vm.solo;
    if (link !== vm.solo) job.scheduledToken = token;
    if (!this.#isHeard(vm)) return;
    const progress = {
      isResubmitted: handedTo !== 0,
      wasSolo,
      done: [...job.done],
      placed: [...job.placed].map(([task, endpointId]) => ({
        task,
        endpointId,
      })),
    };
    link.act((nowMs) =>
      submitJob(link.state, job.order, { vm: vm.name, nowMs, progress })
    );
  }

  #handAll(isOf: (vm: Vm) => boolean): void {
    for (const job of this.open.values()) if (isOf(job.vm)) this.#hand(job);
  }

  #attach(vm: Vm, host: FuzzHost): void {
    if (vm.cuts > 0 || vm.link === host) return;
    this.#endSolo(vm);
    this.#setLink(vm, host);
  }

  #setLink(vm: Vm, host: FuzzHost): void {
    vm.link = host;
    this.#links += 1;
    vm.attached.set(host, this.#links);
  }

  #reconnect(vm: Vm): void {
    const host = this.#world.findCurrent();
    if (!host || vm.cuts > 0 || vm.link === host) return;
    this.#attach(vm, host);
    this.#handAll((one) => one === vm);
  }

  #breakLink(vm: Vm, broken: { host: FuzzHost; isSilent: boolean }): void {
    const { host, isSilent } = broken;
    const number = vm.attached.get(host);
    vm.epoch = this.#world.readEpoch();
    if (!isSilent) {
      this.#drop(vm);
      this.#lose(vm, { host, number, how: "closed" });
      return;
    }
    this.#world.later(SCHEDULER_SILENT_MS, () => {
      const isSame = vm.attached.get(host) === number;
      if (vm.link === host && isSame) this.#drop(vm);
    });
    this.#world.later(
      VM_SILENT_MS,
      () => this.#lose(vm, { host, number, how: "silent" }),
    );
  }

  /** The VM's side of a link that is gone. */
  #drop(vm: Vm): void {
    if (vm.link) vm.hasKeptJobs = canHaveStoredJobs(vm.link.state);
    vm.link = undefined;
    vm.losses += 1;
    // A takeover is faster.
    if (vm.cuts > 0) this.#awaitSolo(vm);
  }

  /** The scheduler's side, unless the VM has linked again meanwhile. */
  #lose(
    vm: Vm,
    lost: { host: FuzzHost; number?: number; how: "closed" | "silent" },
  ): void {
    const { host, number, how } = lost;
    if (number === undefined || vm.attached.get(host) !== number) return;
    vm.attached.delete(host);
    host.act((nowMs) => dropVm(host.state, vm.name, { how, nowMs }));
  }

  #awaitSolo(vm: Vm): void {
    const { losses } = vm;
    this.#world.later(SOLO_MS, () => {
      if (!vm.link && vm.losses === losses) this.#beginSolo(vm);
    });
  }

  #beginSolo(vm: Vm): void {
    if (vm.storeCuts === 0) vm.epoch = this.#world.readEpoch();
    const place = 1 + NAMES.indexOf(vm.name);
    vm.solo = this.#world.beginSolo({
      name: vm.name,
      among: NAMES,
      token: computeFencingToken(vm.epoch, place),
      hasKeptJobs: vm.hasKeptJobs,
    });
    vm.link = vm.solo;
    this.#handAll((one) => one === vm);
  }

  #endSolo(vm: Vm): void {
    if (!vm.solo) return;
    vm.solo.isAlive = false;
    vm.solo = undefined;
    vm.link = undefined;
    vm.losses += 1;
  }
}

/** What the VMs need of the world. */
type VmWorld = {
  later(afterMs: number, run: () => void): void;
  findCurrent(): FuzzHost | undefined;
  /** The scheduler that was replaced last, while it lives on. */
  findFormer(): FuzzHost | undefined;
  readEpoch(): number;
  beginSolo(solo: {
    name: string;
    among: string[];
    token: number;
    hasKeptJobs: boolean;
  }): FuzzHost;
  answered(jobId: string, outcome: JobOutcome): void;
};
