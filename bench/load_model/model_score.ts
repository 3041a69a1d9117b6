/** Credit that a load earned, out of the credit that was possible. */
export type ModelScore = {
  possibleCredit: number;
  earnedCredit: number;
  /** Counts by kind of job; a job counts as 1 credit here, whatever its own credit. */
  kinds: Record<
    string,
    {
      possibleCredit: number;
      earnedCredit: number;
      /** Jobs that earned their full credit. */
      inTime: number;
      /** Jobs that earned the reduced credit of a late answer. */
      late: number;
      /** Jobs that failed or were too late to earn credit. */
      withoutCredit: number;
    }
  >;
  /** Credit by time of arrival, in windows of 2 s. */
  windows: { possibleCredit: number; earnedCredit: number }[];
};
