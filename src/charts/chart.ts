/** A state chart as a table, in which a transition is one look-up. */
export type Chart<State extends string, Event extends string> = {
  id: string;
  initial: State;
  /** The next state, by the current state and the event; absent where the event is not allowed. */
  next: Record<State, Partial<Record<Event, State>>>;
};
