import type { ScanResult } from "./scan_result.ts";
import type { TableOperation } from "./table_operation.ts";
import type { TransactionResult } from "./transaction_result.ts";

/**
 * The part of the platform's transactional table that this product uses. The
 * outcome of a call that rejects is unknown: the call may have taken effect.
 */
export type Table = {
  /** Applies all operations, or none when a condition fails. */
  transact(operations: TableOperation[]): Promise<TransactionResult>;
  /** Reads the rows with a key prefix that changed after a revision; 0 reads all rows of the prefix. */
  scan(prefix: string, sinceRevision: number): Promise<ScanResult>;
};
