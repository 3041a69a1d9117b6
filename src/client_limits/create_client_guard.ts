import { readMonotonicMs } from "../utils/read_monotonic_ms.ts";
import { chooseConnectionToClose } from "./choose_connection_to_close.ts";
import { chooseHolderToRefuse } from "./choose_holder_to_refuse.ts";
import type { ClientConnection } from "./client_connection.ts";
import type { ClientGuard } from "./client_guard.ts";
import { computeClientLimits } from "./compute_client_limits.ts";
import { createBodyStore } from "./create_body_store.ts";
import { createReadQueue } from "./create_read_queue.ts";
import { createRefusalReporter } from "./create_refusal_reporter.ts";
import type { MemoryHolder } from "./memory_holder.ts";
import type { ProcessLimits } from "./process_limits.ts";
import type { RefusalReason } from "./refusal_reason.ts";

/** Most requests that wait for the store, over the connections that are for them. */
const MAX_STORE_REQUESTS = 100;

/** Creates the guard of a process, which all its HTTP servers share. */
export function createClientGuard(options: {
  limits: ProcessLimits;
  /** Called for every refusal. */
  count: (reason: RefusalReason) => void;
  /** Called at most once a second for each reason, with the number of refusals since. */
  report: (reason: RefusalReason, count: number) => void;
}): ClientGuard {
  const limits = computeClientLimits(options.limits);
  const connections = new Set<ClientConnection>();
  const bodies = createBodyStore(limits.maxBodyBytes, readMonotonicMs);
  const reads = createReadQueue({
    maxWaitingBytes: limits.maxUnreadBytes,
    readNowMs: readMonotonicMs,
    runInNextTurn: setImmediate,
  });
  const answers = new Set<MemoryHolder>();
  const addToReport = createRefusalReporter(options.report);
  let answerBytes = 0;
  let queuedRequests = 0;
  let storeRequests = 0;

  function record(reason: RefusalReason): void {
    options.count(reason);
    addToReport(reason);
  }

  function forgetAnswer(answer: MemoryHolder): void {
    if (answers.delete(answer)) answerBytes -= answer.bytes;
  }

  return {
    addConnection: (connection) => {
      connections.add(connection);
      if (connections.size <= limits.maxConnections) return;
      const victim = chooseConnectionToClose(connections) ?? connection;
      connections.delete(victim);
      record("connections");
      victim.close();
    },
    forgetConnection: (connection) => void connections.delete(connection),
    reads,
    bodies,
    addAnswer: (answer) => {
      answers.add(answer);
      answerBytes += answer.bytes;
      while (answerBytes > limits.maxAnswerBytes && answers.size > 1) {
        const victim = chooseHolderToRefuse(answers, readMonotonicMs());
        if (!victim) return;
        forgetAnswer(victim);
        record("unreadAnswers");
        victim.refuse();
      }
    },
    forgetAnswer,
    takeQueuePlace: () => {
      if (queuedRequests >= limits.maxQueuedRequests) return false;
      queuedRequests += 1;
      return true;
    },
    releaseQueuePlaces: (count) => {
      queuedRequests -= count;
    },
    takeStorePlace: () => {
      if (storeRequests >= MAX_STORE_REQUESTS) {
        record("storeRequests");
        return false;
      }
      storeRequests += 1;
      return true;
    },
    releaseStorePlace: () => {
      storeRequests -= 1;
    },
    record,
    readGauges: () => ({
      client_connections: connections.size,
      client_unread_bytes: reads.readWaitingBytes(),
      client_body_bytes: bodies.readBytes(),
      client_answer_bytes: answerBytes,
      client_queued_requests: queuedRequests,
      client_store_requests: storeRequests,
    }),
  };
}
