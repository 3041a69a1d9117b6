import { readFileSync } from "node:fs";
import type { ProcessUsage } from "./process_usage.ts";

/** Clock ticks per second of the CPU times in /proc/PID/stat (USER_HZ). */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

/** Reads the CPU time and resident memory of a process; both are 0 if it has exited. */
export function readProcessUsage(pid: number): ProcessUsage {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const pages = Number(fields[21]);
    return {
      cpuMs: ticks * 1_000 / TICKS_PER_SECOND,
      rssBytes: pages * PAGE_BYTES,
    };
  } catch {
    return { cpuMs: 0, rssBytes: 0 };
  }
}
