/** What a process may use, of which the limits on clients are shares. */
export type ProcessLimits = {
  /** Memory, in MB. */
  memoryMb: number;
  /** Open descriptors. */
  maxFds: number;
};
