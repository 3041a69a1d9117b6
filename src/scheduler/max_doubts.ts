/** Number of lost runs and doubtful starts of a task after which it is not started again: if all of these crashed endpoints, two of the starts came after the third crash. */
export const MAX_DOUBTS = 5;
