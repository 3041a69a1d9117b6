/** Processor room of a service's usable endpoints, in thousandths of a core. */
export type ServiceCapacity = {
  free: number;
  total: number;
  /** The largest free room of one endpoint. */
  largest: number;
};
