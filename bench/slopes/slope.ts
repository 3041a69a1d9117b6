/** Values measured at several sizes, with a line fitted to each. */
export type Slope = {
  name: string;
  /** Unit of the sizes, such as `entries`. */
  unit: string;
  points: { size: number; values: Record<string, number> }[];
  /** Least-squares fits by name of the value: `perUnit` is the slope, `base` the value at size 0. */
  fits: Record<string, { perUnit: number; base: number }>;
};
