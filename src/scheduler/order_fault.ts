/** What is wrong with a job order. `malformed`: a field has a wrong type or value; `tooLarge`: it exceeds a limit of the scheduler. */
export type OrderFault = {
  kind: "malformed" | "tooLarge";
  /** Names the field, and the limit that it exceeds. */
  found: string;
};
