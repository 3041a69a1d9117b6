/** One operation of a transaction. Nothing is written unless the conditions of all its operations hold. */
export type TableOperation =
  /** Writes a row without a condition. */
  | { type: "write"; key: string; value: unknown }
  /** Writes a row that must not exist. */
  | { type: "insert"; key: string; value: unknown }
  /** Writes a row that must be at this revision. */
  | { type: "replace"; key: string; value: unknown; revision: number }
  /** Writes nothing; the row must be at this revision, or must not exist when the revision is 0. */
  | { type: "check"; key: string; revision: number }
  /** Deletes a row if it exists. */
  | { type: "delete"; key: string };
