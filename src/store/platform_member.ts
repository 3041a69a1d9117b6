/** A VM on the platform's membership list, which is updated with a delay. */
export type PlatformMember = {
  /** The IP address of the VM. */
  address: string;
  state: "live" | "leaving";
};
