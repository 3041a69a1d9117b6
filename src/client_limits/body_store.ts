/** The bodies that are being received, within one budget of memory. */
export type BodyStore = {
  /** Opens a body; `refuse` is called when its memory is needed for others, after which it takes no more bytes. */
  open(refuse: () => void): {
    /** Adds bytes, which may refuse other bodies or this one. */
    add(chunk: Buffer): void;
    /** Closes the body and returns its bytes. */
    finish(): Buffer;
    /** Closes the body and forgets its bytes. */
    drop(): void;
  };
  /** Memory that bodies hold, in bytes. */
  readBytes(): number;
};
