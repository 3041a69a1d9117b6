/** How fast a run progresses, in relation to what was expected of its task at its endpoint. */
export type RunPace = {
  /** Run time that was expected when the run was first listed, in ms. */
  expectedMs: number;
  /** Run time in relation to `expectedMs`: predicted from the progress, actual once the run is done; 0 while unknown. */
  scale: number;
  /** Whether the run has made enough progress for `scale` to be more than a bound. */
  isReliable: boolean;
  /** As `scale`, but by the speed since the anchor; exceeds `scale` once the run slows down. */
  recentScale: number;
  /** Progress and elapsed time from which the recent speed is derived. */
  anchor: { progress: number; elapsedMs: number };
};
