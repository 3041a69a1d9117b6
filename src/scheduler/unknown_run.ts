/** Stands for the number of a run that an earlier scheduler may have started, if that is not known; endpoints number runs from 1. */
export const UNKNOWN_RUN = 0;
