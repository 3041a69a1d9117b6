import type { EndpointConfiguration } from "../config/endpoint_configuration.ts";
import type { EntryState } from "../decide/entry/entry_state.ts";
import type { JobAnswer } from "../decide/job/job_answer.ts";
import type { OwnershipView } from "../decide/own/ownership_view.ts";
import type { EndpointSender } from "../endpoint/endpoint_sender.ts";
import type { Logger } from "../log/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { PeerCall } from "../peer/peer_call.ts";
import type { AnswerMessage } from "../peer/answer_message.ts";
import type { ProbeResult } from "../peer/probe_result.ts";
import type { Platform } from "../store/platform.ts";
import type { ProcessPhase } from "../charts/process_phase.ts";
import type { EntrySettings } from "../settings/entry_settings.ts";

/** The state, settings and dependencies of a running entry. */
export type EntryContext = {
  settings: EntrySettings;
  /** The process's name among its peers: its peer address. */
  name: string;
  incarnation: string;
  state: EntryState;
  view: OwnershipView;
  platform: Platform;
  logger: Logger;
  metrics: Metrics;
  /** Calls another entry. */
  callPeer: (address: string, call: PeerCall) => Promise<AnswerMessage>;
  /** Checks whether a process listens on an address. */
  probeAddress: (address: string) => Promise<ProbeResult>;
  createSender: (endpoint: EndpointConfiguration) => EndpointSender;
  /** Senders by endpoint id, with the endpoint's configuration when the sender was created. */
  senders: Map<
    string,
    { configured: EndpointConfiguration; sender: EndpointSender }
  >;
  /** Callbacks of callers that wait for an answer, by caller id. */
  callers: Map<string, (answer: JobAnswer) => void>;
  nextCallerId: number;
  /** Lifecycle phase of the process, as in charts/process.json. */
  phase: ProcessPhase;
  /** Whether the balancer and the other entries have had time to see that this process is draining. */
  isDrainAnnounced: boolean;
  /** Starts a planned stop; called when an operator requests a drain over HTTP. */
  requestStop: () => void;
  /** Number of answered appends to shard logs, and their total duration in ms. */
  appends: { count: number; totalMs: number };
  /** Wakes the log writer when records may be due for writing. */
  wakeLogWriter: () => void;
};
