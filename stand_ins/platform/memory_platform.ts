import type { PlatformMember } from "../../src/store/platform_member.ts";
import type { ScanResult } from "../../src/store/scan_result.ts";
import type { TableOperation } from "../../src/store/table_operation.ts";
import type { TableRow } from "../../src/store/table_row.ts";
import type { TransactionResult } from "../../src/store/transaction_result.ts";

/** In-memory table, objects and members of the platform, with counts of the calls served. */
export class MemoryPlatform {
  readonly rows = new Map<string, TableRow>();
  readonly objects = new Map<string, string>();
  members: PlatformMember[] = [];
  revision = 0;
  counts = { transactions: 0, rowsWritten: 0, scans: 0, objectWrites: 0 };

  /** Applies all operations, or none if the condition of any is not met; a conflict names the keys of those. */
  transact(operations: TableOperation[]): TransactionResult {
    const atMs = Date.now();
    const keys = operations
      .filter((operation) => !this.#isConditionMet(operation))
      .map((operation) => operation.key);
    if (keys.length > 0) return { type: "conflict", keys, atMs };
    this.counts.transactions += 1;
    for (const operation of operations) this.#apply(operation, atMs);
    return { type: "committed", revision: this.revision, atMs };
  }

  /** Reads the rows whose key starts with a prefix and that changed after a revision, in order of their keys. */
  scan(prefix: string, sinceRevision: number): ScanResult {
    this.counts.scans += 1;
    const rows = [...this.rows.values()].filter((row) =>
      row.key.startsWith(prefix) && row.revision > sinceRevision
    );
    rows.sort((one, other) => (one.key < other.key ? -1 : 1));
    return {
      rows: structuredClone(rows),
      revision: this.revision,
      atMs: Date.now(),
    };
  }

  /** Stores an object under a name, in place of any earlier one. */
  putObject(name: string, text: string): void {
    this.counts.objectWrites += 1;
    this.objects.set(name, text);
  }

  #isConditionMet(operation: TableOperation): boolean {
    const row = this.rows.get(operation.key);
    if (operation.type === "insert") return row === undefined;
    if (operation.type === "delete" || operation.type === "write") return true;
    return row?.revision === operation.revision;
  }

  #apply(operation: TableOperation, atMs: number): void {
    if (operation.type === "check") return;
    this.revision += 1;
    this.counts.rowsWritten += 1;
    if (operation.type === "delete") {
      this.rows.delete(operation.key);
      return;
    }
    this.rows.set(operation.key, {
      key: operation.key,
      value: structuredClone(operation.value),
      revision: this.revision,
      updatedAtMs: atMs,
    });
  }
}
