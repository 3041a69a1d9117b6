/** The states of charts/endpoint.json. */
export type EndpointPhase = "healthy" | "ejected" | "probing";
