import type { ModelEndpoint } from "./model_endpoint.ts";
import type { ModelKind } from "./model_kind.ts";

/** A load of the load model: endpoints, callers, kinds of jobs and events. Times are in ms from the start. */
export type ModelLoad = {
  /** Time during which jobs arrive. */
  durationMs: number;
  endpoints: ModelEndpoint[];
  /** Whether one scheduler has all endpoints, or each data centre has a scheduler of its own, which passes jobs to the others. */
  groups: "one" | "byDataCentre";
  kinds: ModelKind[];
  /** Callers by data centre. A wave changes their arrival rate by up to `swing` of its mean, 0 to 1; `phase` is a fraction of the period. */
  callers: {
    dataCentre: string;
    /** Share of the arrivals of each kind; the shares add up to 1. */
    share: number;
    wave?: { swing: number; periodMs: number; phase: number };
  }[];
  /** Periods in which the arrival rate is multiplied by `factor`: of one kind of job or of all, in one data centre or in all. */
  bursts: {
    fromMs: number;
    toMs: number;
    factor: number;
    kind?: string;
    dataCentre?: string;
  }[];
  /** Periods in which a share of the jobs of a kind wants the same rack. */
  hotRacks: {
    fromMs: number;
    toMs: number;
    kind: string;
    rack: string;
    share: number;
  }[];
  /**
   * From `fromMs` to `toMs` no VM accepts requests; callers send again after
   * `resendMs`, but not before `toMs`. Requests that arrive before `linkedMs`,
   * when the VMs are linked to a scheduler again, wait until then.
   */
  outage?: { fromMs: number; toMs: number; resendMs: number; linkedMs: number };
};
