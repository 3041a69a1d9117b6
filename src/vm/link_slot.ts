import type { SchedulerLink } from "./scheduler_link.ts";

/** Slot for a VM's link to its group's scheduler; empty while there is no link. */
export type LinkSlot = {
  /** The current link, if any. */
  find(): SchedulerLink | undefined;
  /** Epoch of the linked scheduler; 0 without a link. */
  readEpoch(): number;
  /** Incarnation of the scheduler's process that this VM is or was last linked to; empty before the first link. */
  readIncarnation(): string;
  /** Time without a link, in ms; 0 with a link. */
  computeUnlinkedMs(): number;
  /** Whether there has been a link since the process started. */
  hasEverBeenLinked(): boolean;
  /** Stores a new link and submits the open jobs over it. */
  set(link: SchedulerLink, incarnation: string): void;
  /** Notes that the linked scheduler continues under a later epoch. */
  setEpoch(epoch: number): void;
  /** Closes the link, if any. */
  drop(reason: string): void;
  /** Restarts the time without a link, as there is a new role holder to link to. */
  restartUnlinkedTime(): void;
};
