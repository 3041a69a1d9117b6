/** One conditional step of a transaction; every condition must hold or nothing is written. */
export type TableOperation =
  /** Writes a row, whatever it holds. */
  | { type: "write"; key: string; value: unknown }
  /** Writes a row that must not exist. */
  | { type: "insert"; key: string; value: unknown }
  /** Writes a row that must still be at this revision. */
  | { type: "replace"; key: string; value: unknown; revision: number }
  /** Writes nothing; the row must still be at this revision. */
  | { type: "check"; key: string; revision: number }
  /** Removes a row, if it is there. */
  | { type: "delete"; key: string };
