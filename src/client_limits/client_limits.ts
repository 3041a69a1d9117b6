/** The limits on all clients of a process together. */
export type ClientLimits = {
  /** Most connections. */
  maxConnections: number;
  /** Most memory for bodies that are being received, in bytes. */
  maxBodyBytes: number;
  /** Most memory for answers that clients have not read, in bytes. */
  maxAnswerBytes: number;
  /** Most bytes that have arrived and wait to be read. */
  maxUnreadBytes: number;
  /** Most memory of the jobs whose callers wait, and of those that a scheduler keeps, stored ones and others each, in bytes. */
  maxOrderBytes: number;
  /** Most bytes of the requests of open jobs, and of answers that are kept, in the product's own entry. */
  maxJobBytes: number;
  /** Most bytes of jobs that wait to be stored. */
  maxUnstoredBytes: number;
  /** Most requests that wait for the answer to an earlier one of their connection. */
  maxQueuedRequests: number;
};
