/** A run whose endpoint became unresponsive, or was found to be restarted, before it listed the run's end. The run may have crashed the endpoint. */
export type LostRun = {
  endpointId: string;
  /** Start of the endpoint's process, in Unix ms; 0 if it never listed its runs. */
  processStartMs: number;
  /** Whether the endpoint's process is taken to have ended; otherwise the endpoint may only be out of reach. */
  hasCrashed: boolean;
  /** Whether the endpoint had confirmed the start; otherwise the run may not have begun before the endpoint went away. */
  wasConfirmed: boolean;
  /** When the run was lost, by this scheduler's clock, in ms. */
  lostMs: number;
  /** How long the run had been going on, in ms. */
  ageMs: number;
};
