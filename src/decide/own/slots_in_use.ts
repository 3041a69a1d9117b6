/** Number of slots of an endpoint that another process still uses. */
export type SlotsInUse = { endpointId: string; count: number };
