import { isPlainObject } from "../utils/is_plain_object.ts";
import { findStepsFault } from "./find_steps_fault.ts";
import { JOB_LIMITS } from "./job_limits.ts";
import type { OrderFault } from "./order_fault.ts";

const TEXTS = ["id", "route", "service"];
const AMOUNTS = ["priority", "maxAttempts", "stretch", "slackMs", "waitMs"];

/** Finds why a job order from outside this process cannot be carried out; undefined if it can. The work is bounded by the limits, not by what the order asks for. */
export function findOrderFault(order: unknown): OrderFault | undefined {
  if (!isPlainObject(order)) return createFault("the order is no object");
  const { spec, steps } = order;
  const badText = TEXTS.find((key) => !isText(order[key]));
  if (badText) return createFault(`${badText} is not a short text`);
  const badAmount = AMOUNTS.find((key) => !isAmount(order[key]));
  if (badAmount) return createFault(`${badAmount} is not a number`);
  if (typeof spec !== "string") return createFault("spec must be a text");
  if (Buffer.byteLength(spec) > JOB_LIMITS.specBytes) {
    const found = `spec has more than ${JOB_LIMITS.specBytes} bytes`;
    return { kind: "tooLarge", found };
  }
  return findStepsFault(steps);
}

function createFault(found: string): OrderFault {
  return { kind: "malformed", found };
}

function isText(value: unknown): boolean {
  return typeof value === "string" && value.length <= JOB_LIMITS.textLength;
}

function isAmount(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value);
}
