/** Unix time at which a history begins, in ms. The processes of its endpoints began long before. */
export const FIRST_UNIX_MS = 1_000_000;
