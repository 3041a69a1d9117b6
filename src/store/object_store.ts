/** The platform's object store, as this product uses it. */
export type ObjectStore = {
  /** Stores a text under a name; storing it again replaces it. */
  put(name: string, text: string): Promise<void>;
  /** Reads a text, or undefined when nothing is stored under the name. */
  get(name: string): Promise<string | undefined>;
};
