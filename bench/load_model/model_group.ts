import type { GroupCapacity } from "../../src/decide/group_capacity.ts";
import type { JobOrder } from "../../src/scheduler/job_order.ts";

/** A simulated group: a scheduler's state machine and its endpoints. */
export type ModelGroup = {
  name: string;
  /** Submits a job that a VM of the group received. */
  submit(order: JobOrder): void;
  /** Describes the free capacity that the group publishes. */
  describeCapacity(): GroupCapacity[];
  /** Applies what the other groups published. */
  setOtherCapacities(capacities: GroupCapacity[]): void;
};
