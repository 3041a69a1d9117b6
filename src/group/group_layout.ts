/** Which group each data centre belongs to. A group of endpoints has a scheduler of its own, among the VMs of its data centres. */
export type GroupLayout = {
  /** By data centre; empty while one group holds all. */
  groups: Record<string, string>;
};
