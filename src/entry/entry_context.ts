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

/** What the parts of a running entry share. */
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
  /** Finds out whether anything listens on an address. */
  probeAddress: (address: string) => Promise<ProbeResult>;
  createSender: (endpoint: EndpointConfiguration) => EndpointSender;
  /** Senders by endpoint, with the endpoint as it was when each was created. */
  senders: Map<
    string,
    { configured: EndpointConfiguration; sender: EndpointSender }
  >;
  /** Callers that wait for an answer, by id. */
  callers: Map<string, (answer: JobAnswer) => void>;
  nextCaller: number;
  /** Where the process is in its life: see charts/process.json. */
  phase: ProcessPhase;
  /** Whether others have had the time to see that the process is leaving. */
  isNoticed: boolean;
  /** Begins a planned stop, as an operator asked over HTTP. */
  requestStop: () => void;
  /** Confirmed appends to the log, and the time that they took in all, in ms. */
  appends: { count: number; totalMs: number };
  /** Says that something may be written now. */
  wakeWriter: () => void;
};
