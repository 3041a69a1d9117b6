import type { PlatformMember } from "../../src/store/platform_member.ts";
import type { ScanResult } from "../../src/store/scan_result.ts";
import type { TableOperation } from "../../src/store/table_operation.ts";
import type { TableRow } from "../../src/store/table_row.ts";
import type { TransactionResult } from "../../src/store/transaction_result.ts";

/** The platform's table, objects and members, held in memory; it counts what it serves. */
export class MemoryPlatform {
  readonly rows = new Map<string, TableRow>();
  readonly objects = new Map<string, string>();
  members: PlatformMember[] = [];
  revision = 0;
  counts = { transactions: 0, rowsWritten: 0, scans: 0, objectWrites: 0 };

  /** Applies all operations or none. */
  transact(operations: TableOperation[]): TransactionResult {
    const atMs = Date.now();
    const keys = operations
      .filter((operation) => !this.#isMet(operation))
      .map((operation) => operation.key);
    if (keys.length > 0) return { type: "conflict", keys, atMs };
    this.counts.transactions += 1;
    for (const operation of operations) this.#apply(operation, atMs);
    return { type: "committed", revision: this.revision, atMs };
  }

  /** Reads the rows under a prefix that changed after a revision. */
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

  /** Stores an object. */
  putObject(name: string, text: string): void {
    this.counts.objectWrites += 1;
    this.objects.set(name, text);
  }

  #isMet(operation: TableOperation): boolean {
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
