/** A state chart flattened to a table, for one look-up a step. */
export type Chart<State extends string, Event extends string> = {
  id: string;
  initial: State;
  next: Record<State, Partial<Record<Event, State>>>;
};
