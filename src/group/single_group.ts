/** Name of the scheduling group of a deployment that has only one. */
export const SINGLE_GROUP = "all";
