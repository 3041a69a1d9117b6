import type { ScanResult } from "./scan_result.ts";
import type { TableOperation } from "./table_operation.ts";
import type { TransactionResult } from "./transaction_result.ts";

/**
 * The platform's transactional table, as this product uses it. A call that
 * rejects leaves its outcome unknown: it may have taken effect.
 */
export type Table = {
  /** Applies all operations or none. */
  transact(operations: TableOperation[]): Promise<TransactionResult>;
  /** Reads the rows whose key has the prefix and that changed after a revision. */
  scan(prefix: string, sinceRevision: number): Promise<ScanResult>;
};
