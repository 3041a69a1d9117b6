/** Keys of our own rows in the store; the part before the slash names the table. */
export const ROW_KEYS = {
  /** Who places tasks; changes rarely, and every VM watches it. */
  scheduler: "chivegrade/scheduler",
  /** Written often, and read only by VMs that doubt. */
  beat: "chivegrade-beat/scheduler",
} as const;
