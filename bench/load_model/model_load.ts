/** A load as the model plays it. */
export type ModelLoad = {
  lengthMs: number;
  endpoints: {
    cpu: number;
    /** Work done in a time, relative to an average endpoint. */
    speed: number;
  }[];
  kinds: {
    name: string;
    perSecond: number;
    workMs: number;
    width: number;
    priority: number;
    worth: number;
  }[];
  /** Nobody takes requests then; callers send again `resendMs` later, or when it is over. Until `linkedMs` requests wait for the scheduler. */
  outage?: { fromMs: number; toMs: number; resendMs: number; linkedMs: number };
  /** Times at which more jobs come, of one kind or of all. */
  bursts: { fromMs: number; toMs: number; factor: number; kind?: string }[];
};
