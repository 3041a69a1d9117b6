/** The row kept for a version: the audit trail of changes. */
export type VersionRecord = {
  version: number;
  /** The operator whose token accompanied the patch. */
  author: string;
  /** Chosen by the operator's side; resolves a lost reply. */
  patchId: string;
  /** The JSON merge patch as submitted. */
  patch: unknown;
  /** The whole configuration after the patch. */
  configuration: unknown;
  /** When the control daemon accepted the patch, in Unix ms. */
  acceptedAtMs: number;
  /** Whether effect checks were overridden. */
  forced: boolean;
  /** The digest of the version before. */
  previousDigest: string;
  /** SHA-256 over all the fields above. */
  digest: string;
};
