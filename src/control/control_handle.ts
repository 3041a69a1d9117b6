/** Handle to a running control daemon. */
export type ControlHandle = {
  /** Address for entries and other control daemons, `host:port`. */
  peerAddress: string;
  /** Base URL for operators. */
  url: string;
  stop(): Promise<void>;
};
