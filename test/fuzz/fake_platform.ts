import type { Platform } from "../../src/store/platform.ts";
import type { TableOperation } from "../../src/store/table_operation.ts";
import type { TransactionResult } from "../../src/store/transaction_result.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import type { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";

/** Network delay of a request to the platform, and of its answer. */
const ONE_WAY_DELAY_MS = 5;
/** Time-out of a call to the platform. */
const CALL_TIMEOUT_MS = 500;
/** Time after which a late transaction takes effect; longer than the time-out. */
const LATE_EFFECT_MS = 1_500;

/** Faults between one process and the platform. */
export type PlatformFaults = {
  isDead(): boolean;
  isCut(): boolean;
  /** Takes the fault of the next transaction: `reply` applies it and loses the reply, `late` applies it only after the time-out. */
  takeTransactionFault(): "none" | "reply" | "late";
};

/** Creates one process's client of the platform in memory, with the given faults. */
export function createFakePlatform(
  platform: MemoryPlatform,
  platformFaults: PlatformFaults,
): Platform {
  async function call<Result>(act: () => Result): Promise<Result> {
    await waitMs(ONE_WAY_DELAY_MS);
    if (platformFaults.isDead()) return await new Promise(() => {});
    if (platformFaults.isCut()) throw await waitForTimeout();
    const result = act();
    await waitMs(ONE_WAY_DELAY_MS);
    if (platformFaults.isDead()) return await new Promise(() => {});
    return result;
  }

  async function transact(
    operations: TableOperation[],
  ): Promise<TransactionResult> {
    const copy = structuredClone(operations);
    const fault = platformFaults.isCut()
      ? "none"
      : platformFaults.takeTransactionFault();
    if (fault === "none") return await call(() => platform.transact(copy));
    const lateMs = fault === "late" ? LATE_EFFECT_MS : ONE_WAY_DELAY_MS;
    setTimeout(() => platform.transact(copy), lateMs);
    throw await waitForTimeout();
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

async function waitForTimeout(): Promise<Error> {
  await waitMs(CALL_TIMEOUT_MS);
  return new Error("the platform did not answer");
}
