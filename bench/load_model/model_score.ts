/** What callers got from a load. */
export type ModelScore = {
  owed: number;
  earned: number;
  kinds: Record<
    string,
    { owed: number; earned: number; inTime: number; late: number; lost: number }
  >;
  /** By two seconds of arrival. */
  windows: { owed: number; earned: number }[];
};
