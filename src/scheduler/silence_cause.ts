/** Why an endpoint counts as unresponsive. */
export type SilenceCause =
  /** Requests were not answered in time, or not with a listing. */
  | "timedOut"
  /** Its connections broke and new ones were refused, as after the end of its process. */
  | "broken"
  /** Another endpoint's process answers at its address. */
  | "replaced";
