/** An endpoint as the store lists it. */
export type EndpointRow = {
  id: string;
  address: string;
  service: string;
  dataCentre: string;
  labels: string[];
  /** Room of the worker that the endpoint runs on. */
  room: { cpu: number; memoryMb: number; gpus: number };
  isDraining: boolean;
};
