import type { EndpointRow } from "./endpoint_row.ts";
import type { StepOrder } from "./step_order.ts";

/** Whether any endpoint of the service has the label, and has or had the total capacity, that a task of the step needs. */
export function canEverFit(
  rows: EndpointRow[],
  service: string,
  step: StepOrder,
): boolean {
  const { requiredLabel, room } = step;
  return rows.some((row) => {
    if (row.service !== service) return false;
    if (requiredLabel && !row.labels.includes(requiredLabel)) return false;
    const { cpu, memoryMb, gpus } = row.largestRoom ?? row.room;
    return cpu >= room.cpu && memoryMb >= room.memoryMb && gpus >= room.gpus;
  });
}
