/** CPU capacity of a service's usable endpoints, in thousandths of a core. */
export type ServiceCapacity = {
  free: number;
  total: number;
  /** Free capacity of the endpoint that has the most. */
  maxFreePerEndpoint: number;
};
