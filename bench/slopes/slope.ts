/** Figures at several sizes, and the line through them. */
export type Slope = {
  name: string;
  /** What the sizes count. */
  unit: string;
  points: { size: number; values: Record<string, number> }[];
  /** Per unit of size, and at size zero, by least squares. */
  fits: Record<string, { perUnit: number; base: number }>;
};
