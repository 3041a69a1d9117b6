/**
 * Maximum number of times a request is forwarded between entries, so that
 * outdated ownership views can't make it circulate.
 */
export const MAX_HOPS = 3;
