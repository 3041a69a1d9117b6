/** Formats the labels of a metric in the text exposition format; empty without labels. */
export function formatLabels(labels: Record<string, string>): string {
  const parts = Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replace(/["\\\n]/g, "_")}"`);
  return parts.length === 0 ? "" : `{${parts.join(",")}}`;
}
