import type { createAnswerMonitor } from "./create_answer_monitor.ts";
import type { EndpointClient } from "./endpoint_client.ts";

/** A scheduler's session with one endpoint. */
export type EndpointSession = {
  client: EndpointClient;
  address: string;
  isOpen: boolean;
  answers: ReturnType<typeof createAnswerMonitor>;
  /** Ends the pause in which run ends are being stored. */
  wake: () => void;
};
