/** Name of the group of a deployment that has only one. */
export const ALL_GROUP = "all";
