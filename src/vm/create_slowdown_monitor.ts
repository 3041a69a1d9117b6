import { performance } from "node:perf_hooks";
import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import type { Ticker } from "./ticker.ts";

/** Interval between two samples, in ms. */
const SAMPLE_INTERVAL_MS = 100;
/** Number of samples that are looked at together. */
const SAMPLE_COUNT = 2;
/** Below this active time in all samples they say nothing about the processor, in ms. */
const MIN_ACTIVE_MS = 4;
/** A VM is slowed when its event loop takes this many times longer for its work than the VM's share of the processor explains. */
const MIN_SLOWDOWN = 2;

/** Time since the start of the process in which the event loop was not idle, and processor time used since then, in ms. */
type Usage = { activeMs: number; cpuMs: number };

/**
 * Creates a monitor that finds out whether this VM's processor has become slow:
 * its event loop is then active for much longer than the processor time that
 * it uses. `strength` is the processor time that the VM gets, in cores.
 */
export function createSlowdownMonitor(
  ticker: Ticker,
  options: {
    strength: number;
    /** Default: the figures of this process. */
    readUsage?: () => Usage;
  },
): {
  /** Returns how long the processor has been slow, in ms; 0 while it is not. */
  readSlowedMs(): number;
  stop(): void;
} {
  const { strength, readUsage = readProcessUsage } = options;
  // A busy VM is active for longer than it computes, as it waits for its share of the processor.
  const share = Math.min(1, strength);
  const samples: Usage[] = [];
  let lastUsage = readUsage();
  let slowedSinceMs: number | undefined;

  function takeSample(): void {
    const usage = readUsage();
    samples.push({
      activeMs: usage.activeMs - lastUsage.activeMs,
      cpuMs: usage.cpuMs - lastUsage.cpuMs,
    });
    lastUsage = usage;
    if (samples.length > SAMPLE_COUNT) samples.shift();
    const activeMs = samples.reduce((sum, one) => sum + one.activeMs, 0);
    const cpuMs = samples.reduce((sum, one) => sum + one.cpuMs, 0);
    if (activeMs < MIN_ACTIVE_MS) return;
    const isSlowed = activeMs * share > cpuMs * MIN_SLOWDOWN;
    if (isSlowed) slowedSinceMs ??= readMonotonicMs();
    else slowedSinceMs = undefined;
  }

  return {
    readSlowedMs: () =>
      slowedSinceMs === undefined
        ? 0
        : Math.max(1, readMonotonicMs() - slowedSinceMs),
    stop: ticker.every(SAMPLE_INTERVAL_MS, takeSample),
  };
}

function readProcessUsage(): Usage {
  const { user, system } = process.cpuUsage();
  return {
    activeMs: performance.eventLoopUtilization().active,
    cpuMs: (user + system) / 1_000,
  };
}
