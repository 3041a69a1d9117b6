/** A VM on the platform's membership list, which lags behind the truth. */
export type PlatformMember = {
  /** The IP address of the VM. */
  address: string;
  state: "live" | "leaving";
};
