/** Exit codes of the command line. Scripts depend on them. */
export const EXIT_CODE = { done: 0, failed: 1, wrongUse: 2 } as const;
