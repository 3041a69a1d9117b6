import { applyPatch } from "../../src/control/apply_patch.ts";
import { formatVersionKey } from "../../src/control/format_version_key.ts";
import { computeRequestDigest } from "../../src/decide/job/compute_request_digest.ts";
import { createJobKey } from "../../src/decide/job/create_job_key.ts";
import type { JobAnswer } from "../../src/decide/job/job_answer.ts";
import type { JobRequest } from "../../src/decide/job/job_request.ts";
import { applyView } from "../../src/entry/apply_view.ts";
import { createEntryContext } from "../../src/entry/create_entry_context.ts";
import { handlePeerCall } from "../../src/entry/handle_peer_call.ts";
import { receiveJob } from "../../src/entry/receive_job.ts";
import { startLoops } from "../../src/entry/start_loops.ts";
import { stopEntry } from "../../src/entry/stop_entry.ts";
import type { LogFields } from "../../src/log/log_fields.ts";
import type { AnswerMessage } from "../../src/peer/answer_message.ts";
import type { ProbeResult } from "../../src/peer/probe_result.ts";
import type { PeerCall } from "../../src/peer/peer_call.ts";
import { createMetrics } from "../../src/metrics/create_metrics.ts";
import { entrySettingsSchema } from "../../src/settings/entry_settings_schema.ts";
import { createRandom } from "../../src/utils/create_random.ts";
import { waitMs } from "../../src/utils/wait_ms.ts";
import { MemoryPlatform } from "../../stand_ins/platform/memory_platform.ts";
import { createViewMessage } from "./create_view_message.ts";
import { createFirstPatch } from "./create_first_patch.ts";
import { FakeEndpoint } from "./fake_endpoint.ts";
import type { FakeEntry } from "./fake_entry.ts";
import { createFakePlatform } from "./fake_platform.ts";
import { Oracle } from "./oracle.ts";
import { silentLogger } from "./silent_logger.ts";

/** Time between two view messages of a control daemon. */
const VIEW_INTERVAL_MS = 200;
/** Time after the last cut from the platform in which an entry may still act on a stale view. */
const CUT_OFF_GRACE_MS = 2_000;
/** Probability that a view message has the version before the latest. */
const STALE_VIEW_PROBABILITY = 0.1;
/** Delay of a call or probe between processes. */
const PEER_DELAY_MS = 1;
/** Time until a call to an unreachable process fails. */
const UNREACHABLE_DELAY_MS = 50;

/** Simulation in virtual time: two data centres of entries and endpoints that share one platform. */
export class World {
  readonly platform = new MemoryPlatform();
  readonly oracle = new Oracle();
  readonly entries: FakeEntry[] = [];
  readonly endpoints: FakeEndpoint[] = [];
  readonly dataCentres = ["north", "south"];
  /** Data centres that can't reach the platform. */
  readonly cutFromPlatform = new Set<string>();
  /** Whether a network partition separates the data centres. */
  arePartitioned = false;
  transactionFaults: ("reply" | "late")[] = [];
  version = 0;
  #lastCutMs = new Map<string, number>();
  #random: () => number;
  #timer: ReturnType<typeof setInterval>;

  constructor(seed: number) {
    this.#random = createRandom(seed);
    for (const name of ["n0", "n1", "n2", "s0", "s1"]) {
      this.endpoints.push(new FakeEndpoint(name, 4, this.oracle));
    }
    this.#timer = setInterval(() => this.#sendViews(), VIEW_INTERVAL_MS);
  }

  /** Applies the patch of the first version and starts the entries. */
  async start(policy: object = {}): Promise<void> {
    await this.patch(createFirstPatch(policy), "first", 0);
    for (const dataCentre of ["north", "north", "north", "south", "south"]) {
      this.addEntry(dataCentre);
    }
  }

  /** Starts an entry; the name of an entry that has ended makes it a restart of that process. */
  addEntry(dataCentre: string, name?: string): void {
    const id = this.entries.length + 1;
    const settings = entrySettingsSchema.parse({
      role: "entry",
      dataCentre,
      platformUrl: "http://127.0.0.1:1",
      callerAddress: "127.0.0.1:0",
      peerAddress: name ?? `127.0.0.${id}:70`,
      controlAddress: "127.0.0.1:71",
      seed: Math.floor(this.#random() * 2 ** 31),
    });
    const entry: FakeEntry = {
      dataCentre,
      isDead: false,
      isVmLost: false,
      isOpen: true,
      openRequests: 0,
      isCutOff: () =>
        Date.now() - (this.#lastCutMs.get(dataCentre) ?? 0) < CUT_OFF_GRACE_MS,
      context: createEntryContext(settings, {
        platform: createFakePlatform(this.platform, {
          isDead: () => entry.isDead,
          isCut: () => this.cutFromPlatform.has(dataCentre),
          takeTransactionFault: () => this.transactionFaults.shift() ?? "none",
        }),
        logger: {
          ...silentLogger,
          error: (event, fields) => this.#log(event, fields),
        },
        metrics: createMetrics(undefined, {}),
        callPeer: (address, call) => this.#callPeer(entry, address, call),
        probeAddress: (address) => this.#probe(entry, address),
        createSender: (configured) => {
          const id = new URL(configured.url).pathname.slice(1);
          const endpoint = this.endpoints.find((one) => one.id === id);
          return (endpoint as FakeEndpoint).createSender(entry);
        },
        requestStop: () => {},
      }),
    };
    this.entries.push(entry);
    this.#sendView(entry);
    startLoops(entry.context);
  }

  /** Kills an entry, or its whole VM; nothing that its code still does has an effect. */
  kill(entry: FakeEntry, withVm = false): void {
    entry.isVmLost = withVm;
    entry.isDead = true;
    entry.isOpen = false;
    entry.context.phase = "stopped";
  }

  /** Stops an entry as an operator would. */
  drain(entry: FakeEntry): void {
    if (entry.context.phase !== "serving") return;
    stopEntry(entry.context, {
      callerServer: {
        stop: async () => {
          entry.isOpen = false;
          while (entry.openRequests > 0) await waitMs(20);
        },
      },
      peerServer: { stop: () => Promise.resolve() },
      peers: { close: () => {} },
      stopWatching: () => {},
    }).catch((error) => {
      if (!entry.isDead) this.oracle.violations.push(`drain: ${error}`);
    });
  }

  /** Sends a submission to an entry and records the answer in the oracle; undefined when the connection broke. */
  async submit(
    entry: FakeEntry,
    request: JobRequest,
  ): Promise<JobAnswer | undefined> {
    const key = createJobKey(request.client, request.submissionId);
    if (!entry.isOpen) return undefined;
    this.oracle.recordSubmit(key, createExpectedResults(request));
    entry.openRequests += 1;
    const answer = await receiveJob(entry.context, {
      request,
      digest: computeRequestDigest(request),
      waitMs: request.deadlineMs + 2_000,
      hops: 0,
    });
    entry.openRequests -= 1;
    const receivedAnswer = entry.isDead ? undefined : answer;
    this.oracle.recordAnswer(key, receivedAnswer);
    return receivedAnswer;
  }

  /** Submits a patch; returns the version that it made, or undefined when it was not accepted. */
  async patch(
    patch: Record<string, unknown>,
    patchId: string,
    base = this.version,
  ): Promise<number | undefined> {
    const table = createFakePlatform(this.platform, {
      isDead: () => false,
      isCut: () => false,
      takeTransactionFault: () => this.transactionFaults.shift() ?? "none",
    }).table;
    const request = { base, patchId, patch, force: true, dryRun: false };
    const outcome = await applyPatch(table, request, "ada");
    if (outcome.type !== "accepted") return undefined;
    this.version = Math.max(this.version, outcome.version);
    return outcome.version;
  }

  /** Ends every fault and starts an entry in each data centre that has none serving. */
  heal(): void {
    this.cutFromPlatform.clear();
    this.arePartitioned = false;
    this.transactionFaults = [];
    for (const endpoint of this.endpoints) {
      endpoint.mode = "run";
      endpoint.stallMs = 0;
    }
    for (const dataCentre of this.dataCentres) {
      const hasServingEntry = this.entries.some((entry) =>
        entry.dataCentre === dataCentre && entry.context.phase === "serving"
      );
      if (!hasServingEntry) this.addEntry(dataCentre);
    }
  }

  /** Stops the simulation's timers and kills all entries. */
  stop(): void {
    clearInterval(this.#timer);
    for (const entry of this.entries) this.kill(entry);
  }

  /** Records a failed decision, such as a step that a state chart does not allow, as a violation. */
  #log(event: string, fields?: LogFields): void {
    silentLogger.error(event, fields);
    if (event !== "decisionFailed") return;
    this.oracle.violations.push(`decision failed: ${fields?.message}`);
  }

  #sendViews(): void {
    for (const dataCentre of this.cutFromPlatform) {
      this.#lastCutMs.set(dataCentre, Date.now());
    }
    for (const entry of this.entries) this.#sendView(entry);
  }

  #sendView(entry: FakeEntry): void {
    if (entry.isDead || this.cutFromPlatform.has(entry.dataCentre)) return;
    const before = entry.context.state.version.version;
    const key = formatVersionKey();
    const versions = this.platform.scan(key, 0).rows;
    const isStale = this.#random() < STALE_VIEW_PROBABILITY;
    const message = createViewMessage(this.platform.scan("live/", 0).rows, {
      versions: isStale ? versions.slice(0, -1) : versions,
      known: isStale ? 0 : before,
      dataCentre: entry.dataCentre,
    });
    applyView(entry.context, message);
    if (entry.context.state.version.version < before) {
      this.oracle.violations.push("an entry went back to an earlier version");
    }
  }

  async #callPeer(
    from: FakeEntry,
    address: string,
    call: PeerCall,
  ): Promise<AnswerMessage> {
    await waitMs(PEER_DELAY_MS);
    const target = this.entries.findLast((entry) =>
      entry.context.name === address
    );
    if (!target || !this.#isReachable(from, target)) {
      await waitMs(UNREACHABLE_DELAY_MS);
      throw new Error("unreachable");
    }
    const reply = await handlePeerCall(target.context, call);
    if (!this.#isReachable(from, target)) throw new Error("connection lost");
    return reply;
  }

  /** Probes an address: the VM of a process that has ended refuses connections; a lost VM or a partition gives no answer. */
  async #probe(from: FakeEntry, address: string): Promise<ProbeResult> {
    await waitMs(PEER_DELAY_MS);
    const target = this.entries.findLast((entry) =>
      entry.context.name === address
    );
    if (
      !target || (this.arePartitioned && from.dataCentre !== target.dataCentre)
    ) {
      return "silent";
    }
    const hasEnded = target.isDead || target.context.phase === "stopped";
    return hasEnded ? (target.isVmLost ? "silent" : "refused") : "open";
  }

  #isReachable(from: FakeEntry, target: FakeEntry): boolean {
    const isSplit = this.arePartitioned &&
      from.dataCentre !== target.dataCentre;
    return !target.isDead && !isSplit && target.context.phase !== "stopped";
  }
}

function createExpectedResults(request: JobRequest): string[] {
  return request.tasks.map((task) =>
    JSON.stringify({ ran: JSON.parse(task.body).value })
  );
}
