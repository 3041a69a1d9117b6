import type { Reader } from "./reader.ts";

/** The order in which the connections of clients are read, so that none holds up the event loop. */
export type ReadQueue = {
  /** Reads a connection whose bytes have arrived: now, or after others when this turn of the event loop has used up its time. */
  add(reader: Reader): void;
  forget(reader: Reader): void;
  /** Leaves all further reads to the next turn of the event loop. */
  endTurn(): void;
  /** Reads some bytes of each waiting connection of which none has been read since its last request, so that small requests that have arrived are known. */
  readNewcomers(): void;
  /** Bytes that have arrived and wait to be read. */
  readWaitingBytes(): number;
};
