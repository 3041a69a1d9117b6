import { isPlainObject } from "../utils/is_plain_object.ts";
import { findStepsFault } from "./find_steps_fault.ts";
import { isShortText } from "./is_short_text.ts";
import type { JobLimits } from "./job_limits.ts";
import type { OrderFault } from "./order_fault.ts";

const TEXTS = ["id", "route", "service"];
const AMOUNTS = ["priority", "maxAttempts", "stretch", "slackMs", "waitMs"];

/** Finds why a job order from outside this process cannot be carried out; undefined if it can. The work is bounded by the limits, not by what the order asks for. */
export function findOrderFault(
  order: unknown,
  limits: JobLimits,
): OrderFault | undefined {
  if (!isPlainObject(order)) return createFault("the order is no object");
  const { spec, steps } = order;
  const badText = TEXTS.find((key) => !isShortText(order[key]));
  if (badText) return createFault(`${badText} is not a short text`);
  const badAmount = AMOUNTS.find((key) => !isAmount(order[key]));
  if (badAmount) return createFault(`${badAmount} is not a number`);
  if (typeof spec !== "string") return createFault("spec must be a text");
  if (Buffer.byteLength(spec) > limits.specBytes) {
    const found = `spec has more than ${limits.specBytes} bytes`;
    return { kind: "tooLarge", found };
  }
  return findStepsFault(steps, limits);
}

function createFault(found: string): OrderFault {
  return { kind: "malformed", found };
}

function isAmount(value: unknown): boolean {
  return typeof value === "number" && Number.isFinite(value);
}
