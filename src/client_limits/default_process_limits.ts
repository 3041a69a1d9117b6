import type { ProcessLimits } from "./process_limits.ts";

/** The limits of a process whose settings name none. */
export const DEFAULT_PROCESS_LIMITS: ProcessLimits = {
  memoryMb: 512,
  maxFds: 4_096,
};
