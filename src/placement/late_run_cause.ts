/** Why a run is late: `expected` if it takes about as long as expected at its endpoint, `unknown` until there is enough progress to tell. */
export type LateRunCause = "expected" | "longTask" | "slowEndpoint" | "unknown";
