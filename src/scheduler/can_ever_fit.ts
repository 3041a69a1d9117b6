import type { EndpointRow } from "./endpoint_row.ts";
import type { StepOrder } from "./step_order.ts";

/** Whether any endpoint of the service has the label and the total capacity that a task of the step needs. */
export function canEverFit(
  rows: EndpointRow[],
  service: string,
  step: StepOrder,
): boolean {
  const { requiredLabel, room } = step;
  return rows.some((row) =>
    row.service === service &&
    (!requiredLabel || row.labels.includes(requiredLabel)) &&
    row.room.cpu >= room.cpu &&
    row.room.memoryMb >= room.memoryMb &&
    row.room.gpus >= room.gpus
  );
}
