/** The scheduling group of each data centre. The endpoints of a group have their own scheduler, which is one of the VMs in the group's data centres. */
export type GroupLayout = {
  /** Group names by data centre; empty when a single group holds all data centres. */
  groups: Record<string, string>;
};
