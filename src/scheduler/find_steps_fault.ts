import { isPlainObject } from "../utils/is_plain_object.ts";
import { isShortText } from "./is_short_text.ts";
import type { JobLimits } from "./job_limits.ts";
import type { OrderFault } from "./order_fault.ts";

const OPTIONAL_TEXTS = ["rack", "requiredLabel"];

/** Finds why the steps of a job order cannot be carried out; undefined if they can. */
export function findStepsFault(
  steps: unknown,
  limits: JobLimits,
): OrderFault | undefined {
  if (!Array.isArray(steps) || steps.length === 0) {
    return { kind: "malformed", found: "steps must list one step or more" };
  }
  if (steps.length > limits.steps) {
    return createLimitFault("steps", limits.steps);
  }
  let tasks = 0;
  let dependencies = 0;
  for (const [index, step] of steps.entries()) {
    const found = findStepFault(step, index);
    if (found) {
      return { kind: "malformed", found: `step ${index}: ${found}` };
    }
    tasks += step.count;
    dependencies += step.after.length;
    if (tasks > limits.tasks) {
      return createLimitFault("tasks", limits.tasks);
    }
    if (dependencies > limits.dependencies) {
      return createLimitFault("entries in after", limits.dependencies);
    }
  }
  return undefined;
}

function createLimitFault(what: string, limit: number): OrderFault {
  return {
    kind: "tooLarge",
    found: `the job has more than ${limit} ${what}`,
  };
}

function findStepFault(step: unknown, index: number): string | undefined {
  if (!isPlainObject(step)) return "it is no object";
  const { count, room, estimateMs, after, mostPerEndpoint } = step;
  if (!Number.isInteger(count) || Number(count) < 1) {
    return "count must be a whole number from 1";
  }
  if (!isPlainObject(room)) return "it names no resources";
  const amounts = [room.cpu, room.memoryMb, room.gpus, estimateMs];
  if (!amounts.every(isAmount)) return "an amount is not a number from 0";
  if (mostPerEndpoint !== undefined && !isAmount(mostPerEndpoint)) {
    return "the most tasks on one endpoint is not a number from 0";
  }
  if (!Array.isArray(after)) return "after must be a list";
  const isEarlier = (other: unknown) =>
    Number.isInteger(other) && Number(other) >= 0 && Number(other) < index;
  if (!after.every(isEarlier)) return "after may only name earlier steps";
  const badText = OPTIONAL_TEXTS.find((key) => !isOptionalText(step[key]));
  return badText && `${badText} is not a short text`;
}

function isAmount(value: unknown): boolean {
  return typeof value === "number" && value >= 0 &&
    value <= Number.MAX_SAFE_INTEGER;
}

function isOptionalText(value: unknown): boolean {
  return value === undefined || value === null || isShortText(value);
}
