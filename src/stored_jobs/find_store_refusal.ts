import { isBacklogFull } from "../decide/is_backlog_full.ts";
import type { Evacuations } from "../evacuation/evacuations.ts";
import { canEverFit } from "../scheduler/can_ever_fit.ts";
import type { EndpointRow } from "../scheduler/endpoint_row.ts";
import type { JobOrder } from "../scheduler/job_order.ts";

/** Finds why a job is not stored; undefined when it may be. Every stored job has to run, so one that no open data centre can run now is refused as well. */
export function findStoreRefusal(
  { service, steps }: Pick<JobOrder, "service" | "steps">,
  known: {
    /** Time for which the waiting jobs would occupy the service's capacity, in ms. */
    backlogMs: number;
    /** The endpoints of all groups; empty while not known. */
    rows: EndpointRow[];
    evacuations: Evacuations | undefined;
  },
): "busy" | "neverFits" | undefined {
  const { rows, evacuations } = known;
  if (isBacklogFull(known.backlogMs)) return "busy";
  if (rows.length === 0) return undefined;
  const canFit = (some: EndpointRow[]) =>
    steps.every((step) => canEverFit(some, service, step));
  if (!canFit(rows)) return "neverFits";
  const closed = evacuations?.dataCentres ?? [];
  if (closed.length === 0) return undefined;
  const open = rows.filter(({ dataCentre }) => !closed.includes(dataCentre));
  return canFit(open) ? undefined : "busy";
}
