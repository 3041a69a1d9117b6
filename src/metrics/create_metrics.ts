import { StatsD } from "hot-shots";
import type { Metrics } from "./metrics.ts";

/** Creates the StatsD metrics of a process. Without an address (`host:port`) nothing is sent. */
export function createMetrics(
  address: string | undefined,
  tags: Record<string, string>,
): Metrics {
  if (address === undefined) return createNoOpMetrics();
  const separator = address.lastIndexOf(":");
  const statsd = new StatsD({
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
    prefix: "chivegrade.",
    globalTags: tags,
    maxBufferSize: 1432,
    errorHandler: () => {},
  });
  return {
    increment: (name, by = 1) => statsd.increment(name, by),
    time: (name, durationMs) => statsd.timing(name, durationMs),
    gauge: (name, level) => statsd.gauge(name, level),
    close: () => statsd.close(() => {}),
  };
}

function createNoOpMetrics(): Metrics {
  return {
    increment: () => {},
    time: () => {},
    gauge: () => {},
    close: () => {},
  };
}
