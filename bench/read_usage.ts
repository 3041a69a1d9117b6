import { readFileSync } from "node:fs";
import type { Usage } from "./usage.ts";

/** Ticks a second of the kernel's processor accounting. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

/** Reads a process's processor time and resident memory; zeros once it is gone. */
export function readUsage(pid: number): Usage {
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
