import type { SchedulerLink } from "./scheduler_link.ts";

/** The one link of a VM to a scheduler, or the lack of one. */
export type LinkSlot = {
  find(): SchedulerLink | undefined;
  /** Epoch of the scheduler; 0 while there is no link. */
  readEpoch(): number;
  /** The incarnation of the process that the link leads to, or led to last. */
  readIncarnation(): string;
  /** For how long there has been none, in ms. */
  computeLostMs(): number;
  hasEverBeenLinked(): boolean;
  /** Hands the open jobs to the scheduler behind a new link. */
  set(link: SchedulerLink, incarnation: string): void;
  /** The scheduler goes on under a later epoch. */
  setEpoch(epoch: number): void;
  drop(reason: string): void;
  /** Counts the time without a link from now on: there is somebody new to link to. */
  restartWait(): void;
};
