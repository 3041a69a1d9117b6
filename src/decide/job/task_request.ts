/** One task as a caller submitted it. */
export type TaskRequest = {
  service: string;
  /** The body for the endpoint, as JSON text. */
  body: string;
  /** Never send the task a second time unless it certainly never began. */
  unrepeatable: boolean;
  /** The run time that the caller expects, in ms; a hint only. */
  declaredMs?: number;
};
