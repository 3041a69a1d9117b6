import type { Platform } from "../../src/store/platform.ts";
import type { TableOperation } from "../../src/store/table_operation.ts";
import type { TransactionResult } from "../../src/store/transaction_result.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import type { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";

/** How long a call to the platform takes, in ms. */
const CALL_MS = 5;
/** After how long a call is given up, in ms. */
const TIMEOUT_MS = 500;
/** Within which a call that was given up still takes effect, in ms. */
const LATE_MS = 1_500;

/** What is wrong with the platform as one process sees it. */
export type PlatformTrouble = {
  isDead(): boolean;
  isCut(): boolean;
  /** What happens to the next transaction: effect without reply, or a late effect. */
  takeLoss(): "none" | "reply" | "late";
};

/** Creates one process's view of the platform, with its troubles. */
export function createFakePlatform(
  platform: MemoryPlatform,
  trouble: PlatformTrouble,
): Platform {
  async function call<Result>(act: () => Result): Promise<Result> {
    await waitMs(CALL_MS);
    if (trouble.isDead()) return await new Promise(() => {});
    if (trouble.isCut()) throw await giveUp();
    const result = act();
    await waitMs(CALL_MS);
    if (trouble.isDead()) return await new Promise(() => {});
    return result;
  }

  async function transact(
    operations: TableOperation[],
  ): Promise<TransactionResult> {
    const copy = structuredClone(operations);
    const loss = trouble.isCut() ? "none" : trouble.takeLoss();
    if (loss === "none") return await call(() => platform.transact(copy));
    const lateMs = loss === "late" ? LATE_MS : CALL_MS;
    setTimeout(() => platform.transact(copy), lateMs);
    throw await giveUp();
  }

  return {
    table: {
      transact,
      scan: (prefix, since) => call(() => platform.scan(prefix, since)),
    },
    objects: {
      put: (name, text) => call(() => platform.putObject(name, text)),
      get: (name) => call(() => platform.objects.get(name)),
    },
    readMembers: () => call(() => []),
    close: () => Promise.resolve(),
  };
}

async function giveUp(): Promise<Error> {
  await waitMs(TIMEOUT_MS);
  return new Error("the platform did not answer");
}
