import type { Room } from "./room.ts";

/** An endpoint as it stands in the store's list of endpoints. */
export type EndpointRow = {
  id: string;
  address: string;
  service: string;
  dataCentre: string;
  labels: string[];
  /** Total capacity of the worker that the endpoint runs on; `cpu` in thousandths of a core. It may shrink and grow. */
  room: Room;
  /** The largest capacity that was seen of the endpoint, which it may have again. Default: `room`. */
  largestRoom?: Room;
  isDraining: boolean;
};
