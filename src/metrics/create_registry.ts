import { formatLabels } from "./format_labels.ts";
import type { Registry } from "./registry.ts";

/** Upper bounds of the histogram buckets, in ms. They range from one round trip to the longest wait of a caller. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];
/** Prefix of every metric name. */
const PREFIX = "chivegrade_";

type Histogram = { counts: number[]; sum: number; total: number };

/**
 * Creates an empty registry of metrics in the Prometheus text format. The usual
 * client library is not used: it takes as long to load as the rest of the
 * program, which would delay every start of a process.
 */
export function createRegistry(): Registry {
  const counters = new Map<string, Map<string, { count: number }>>();
  const histograms = new Map<string, Histogram>();
  const gauges: (() => Record<string, number>)[] = [];

  function formatHistogram(name: string, histogram: Histogram): string[] {
    let sum = 0;
    const lines = BUCKETS_MS.map((bound, index) => {
      sum += histogram.counts[index];
      return `${PREFIX}${name}_bucket{le="${bound}"} ${sum}`;
    });
    return [
      `# TYPE ${PREFIX}${name} histogram`,
      ...lines,
      `${PREFIX}${name}_bucket{le="+Inf"} ${histogram.total}`,
      `${PREFIX}${name}_sum ${histogram.sum}`,
      `${PREFIX}${name}_count ${histogram.total}`,
    ];
  }

  function findOrCreateCounter(
    name: string,
    labels: Record<string, string> = {},
  ): { count: number } {
    const series = counters.get(name) ?? new Map<string, { count: number }>();
    counters.set(name, series);
    const key = formatLabels(labels);
    const counter = series.get(key) ?? { count: 0 };
    series.set(key, counter);
    return counter;
  }

  return {
    count: (name, labels) => {
      findOrCreateCounter(name, labels).count += 1;
    },
    createCounter: (name, labels) => {
      const counter = findOrCreateCounter(name, labels);
      return () => {
        counter.count += 1;
      };
    },
    observe: (name, durationMs) => {
      const histogram = histograms.get(name) ??
        { counts: BUCKETS_MS.map(() => 0), sum: 0, total: 0 };
      histograms.set(name, histogram);
      histogram.sum += durationMs;
      histogram.total += 1;
      const index = BUCKETS_MS.findIndex((bound) => durationMs <= bound);
      if (index >= 0) histogram.counts[index] += 1;
    },
    setLevel: (name, read) => {
      gauges.push(() => ({ [name]: read() }));
    },
    addLevels: (read) => {
      gauges.push(read);
    },
    formatText: () => {
      const lines: string[] = [];
      for (const [name, series] of counters) {
        lines.push(`# TYPE ${PREFIX}${name}_total counter`);
        for (const [labels, { count }] of series) {
          lines.push(`${PREFIX}${name}_total${labels} ${count}`);
        }
      }
      for (const [name, histogram] of histograms) {
        lines.push(...formatHistogram(name, histogram));
      }
      const typed = new Set<string>();
      for (
        const [name, value] of gauges.flatMap((read) => Object.entries(read()))
      ) {
        const [metric] = name.split("{", 1);
        if (!typed.has(metric)) lines.push(`# TYPE ${PREFIX}${metric} gauge`);
        typed.add(metric);
        lines.push(`${PREFIX}${name} ${formatGauge(value)}`);
      }
      return lines.join("\n") + "\n";
    },
  };
}

/** Formats the value of a gauge. The text format writes Infinity, the age of something never received, as `+Inf`. */
function formatGauge(value: number): string {
  return value === Infinity ? "+Inf" : String(value);
}
