/** A row read from the platform's table. */
export type TableRow<Value = unknown> = {
  key: string;
  value: Value;
  /** Whether the row exists but its value could not be decoded. Default: false. */
  isUnreadable?: boolean;
  /** The table's revision at the row's last write. The table's revision rises with every write to any row, so it identifies this state of the row. */
  revision: number;
  /** When the row was written, by the platform's clock, in Unix ms. */
  updatedAtMs: number;
};
