/** The kinds of row of which control daemons read all rows. */
type RowKind = "lease" | "shard" | "head";

/** Formats the table key of a row that control daemons read, or the prefix of all rows of a kind when no name is given. */
export function formatRowKey(kind: RowKind, name = ""): string {
  return `live/${kind}/${name}`;
}
