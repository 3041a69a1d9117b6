/**
 * The result of a connection attempt. `refused` means that the VM's kernel is
 * running and no process listens on the address; `silent` means a time-out
 * or any other error, after which the process may still be running.
 */
export type ProbeResult = "open" | "refused" | "silent";
