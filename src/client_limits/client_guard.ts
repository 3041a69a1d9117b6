import type { BodyStore } from "./body_store.ts";
import type { ClientConnection } from "./client_connection.ts";
import type { MemoryHolder } from "./memory_holder.ts";
import type { ReadQueue } from "./read_queue.ts";
import type { RefusalReason } from "./refusal_reason.ts";

/** Keeps the clients of all HTTP servers of a process within its limits. */
export type ClientGuard = {
  /** Adds a connection, and closes another one, or this one, when there are too many. */
  addConnection(connection: ClientConnection): void;
  forgetConnection(connection: ClientConnection): void;
  /** The order in which connections are read. */
  reads: ReadQueue;
  /** The bodies that are being received. */
  bodies: BodyStore;
  /** Adds an answer that its client has not read, and refuses holders when there are too many bytes. */
  addAnswer(answer: MemoryHolder): void;
  forgetAnswer(answer: MemoryHolder): void;
  /** Takes a place for a request that waits behind another one of its connection; false if none is left. */
  takeQueuePlace(): boolean;
  releaseQueuePlaces(count: number): void;
  /** Takes a place for a request that needs the store; false if none is left. */
  takeStorePlace(): boolean;
  releaseStorePlace(): void;
  /** Records that a client was refused or its connection closed. */
  record(reason: RefusalReason): void;
  /** What clients hold now, by the names of gauges. */
  readGauges(): Record<string, number>;
};
