/** An endpoint as it stands in the store's list of endpoints. */
export type EndpointRow = {
  id: string;
  address: string;
  service: string;
  dataCentre: string;
  labels: string[];
  /** Total capacity of the worker that the endpoint runs on; `cpu` in thousandths of a core. */
  room: { cpu: number; memoryMb: number; gpus: number };
  isDraining: boolean;
};
