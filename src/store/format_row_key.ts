/** The kinds of row that control daemons read whole. */
type RowKind = "lease" | "shard" | "head";

/** Formats the table key of a row that control daemons read; without a name, the prefix. */
export function formatRowKey(kind: RowKind, name = ""): string {
  return `live/${kind}/${name}`;
}
