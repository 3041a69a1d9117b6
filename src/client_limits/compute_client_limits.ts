import type { ClientLimits } from "./client_limits.ts";
import type { ProcessLimits } from "./process_limits.ts";

/** Descriptors that are not available for sockets. */
const FILE_DESCRIPTORS = 200;
/** Share of the sockets that clients may hold; the others are for the store, endpoints and links. */
const CLIENT_SHARE = 1 / 2;
/** Share of the memory for each of connections, bodies, answers and jobs of the product's own entry. */
const MEMORY_SHARE = 1 / 8;
/** Share of the memory for queued requests. */
const QUEUE_SHARE = 1 / 32;
/** Share of the memory for bytes that wait to be read; the system's buffers hold about as much again. */
const UNREAD_SHARE = 1 / 16;
/** Share of the memory for each of the jobs whose callers wait, and the stored and other jobs of a scheduler. */
const ORDER_SHARE = 1 / 16;
/** Share of the memory for jobs that wait to be stored, by the bytes of their rows. */
const UNSTORED_SHARE = 1 / 32;
/** Memory of an idle connection or a queued request, in bytes, with its buffers and headers. */
const REQUEST_BYTES = 16 * 1_024;
const MB = 1_024 * 1_024;

/** Computes the limits on clients as shares of what the process may use. */
export function computeClientLimits(process: ProcessLimits): ClientLimits {
  const memoryBytes = process.memoryMb * MB;
  const sockets = process.maxFds - FILE_DESCRIPTORS;
  const connections = Math.min(
    sockets * CLIENT_SHARE,
    memoryBytes * MEMORY_SHARE / REQUEST_BYTES,
  );
  return {
    maxConnections: Math.max(1, Math.floor(connections)),
    maxBodyBytes: Math.floor(memoryBytes * MEMORY_SHARE),
    maxAnswerBytes: Math.floor(memoryBytes * MEMORY_SHARE),
    maxUnreadBytes: Math.floor(memoryBytes * UNREAD_SHARE),
    maxOrderBytes: Math.floor(memoryBytes * ORDER_SHARE),
    maxJobBytes: Math.floor(memoryBytes * MEMORY_SHARE),
    maxUnstoredBytes: Math.floor(memoryBytes * UNSTORED_SHARE),
    maxQueuedRequests: Math.floor(memoryBytes * QUEUE_SHARE / REQUEST_BYTES),
  };
}
