/** Configurable behaviour of an endpoint stand-in. */
export type EndpointBehaviour = {
  /** Number of tasks that run concurrently. */
  slots: number;
  /** Handling of a task that arrives while all slots are taken. */
  overflow: "refuse" | "queue";
  /** Factor on the run time that a task requests. */
  slowness: number;
  /** `run` runs tasks, `fail` fails them at once, `refuse` refuses them, `hang` runs them and never replies. */
  mode: "run" | "fail" | "refuse" | "hang";
};
