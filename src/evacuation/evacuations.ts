/** The evacuated data centres, in which no task may start. */
export type Evacuations = {
  /** The store's revision at which the list was read; of two lists the one with the higher revision holds. */
  revision: number;
  /** Names of the evacuated data centres, sorted. */
  dataCentres: string[];
};
