/** A plot of a report page. */
export type Plot = {
  title: string;
  yLabel: string;
  /** Whether the values are on a logarithmic scale. */
  isLogarithmic: boolean;
  /** Labels of the whole numbers from 0 on the horizontal axis; the numbers themselves if absent. */
  xLabels?: string[];
  series: { label: string; stroke: string; dash?: number[] }[];
  /** Horizontal positions, then the values of each series; null where there is none. */
  data: (number | null)[][];
};
