/** What came of connecting to an address: a refusal comes from the kernel of a VM that lives. */
export type ProbeResult = "open" | "refused" | "silent";
