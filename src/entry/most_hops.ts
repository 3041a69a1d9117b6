/** Forwards after which a request is turned back rather than passed round. */
export const MOST_HOPS = 3;
