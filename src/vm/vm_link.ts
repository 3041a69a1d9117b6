import type { LinkEvents } from "./link_events.ts";
import type { VmReport } from "./vm_report.ts";

/** A scheduler's link to a VM. */
export type VmLink = {
  events: LinkEvents;
  /** Absent until the VM's first report. */
  report?: VmReport;
  /** Version of the VM list that was last sent over the link. */
  sentVmListVersion: number;
};
