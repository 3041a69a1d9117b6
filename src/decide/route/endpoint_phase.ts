/** States of an endpoint, as in charts/endpoint.json. */
export type EndpointPhase = "healthy" | "ejected" | "probing";
