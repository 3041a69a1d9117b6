/** A running control daemon, for whoever started it. */
export type ControlHandle = {
  /** Where entries and other daemons reach it. */
  peerAddress: string;
  /** Base URL for operators. */
  url: string;
  stop(): Promise<void>;
};
