/** The part of the platform's object store that this product uses. */
export type ObjectStore = {
  /** Stores a text under a name and replaces the text that was stored under it. */
  put(name: string, text: string): Promise<void>;
  /** Reads the text under a name; undefined when there is none. */
  get(name: string): Promise<string | undefined>;
};
