import type { Effect } from "../scheduler/effect.ts";
import type { createEndpointSessions } from "./create_endpoint_sessions.ts";
import type { EventLog } from "./event_log.ts";
import type { LinkEvents } from "./link_events.ts";

/** How each type of effect is carried out. A table, as matching patterns takes long compared to most effects. */
type EffectRunners = {
  [Type in Effect["type"]]: (effect: Extract<Effect, { type: Type }>) => void;
};

/** Creates a runner, to be called with each effect of a scheduler's decisions. */
export function createEffectRunner(options: {
  sessions: Pick<ReturnType<typeof createEndpointSessions>, "start" | "stop">;
  /** Finds where to send messages to a linked VM. */
  findLinkEvents: (vm: string) => LinkEvents | undefined;
  log: EventLog;
}): (effect: Effect) => void {
  const { sessions, findLinkEvents, log } = options;
  const runners: EffectRunners = {
    startTask: sessions.start,
    stopRun: sessions.stop,
    notifyPlaced: ({ vms, task, endpointId }) => {
      for (const vm of vms) findLinkEvents(vm)?.placed(task, endpointId);
    },
    notifyDone: ({ vms, task }) => {
      for (const vm of vms) findLinkEvents(vm)?.done(task);
    },
    notifyEnded: ({ vms, jobId, outcome }) => {
      for (const vm of vms) findLinkEvents(vm)?.ended(jobId, outcome);
    },
    notifyPassed: ({ vms, jobId, group }) => {
      for (const vm of vms) findLinkEvents(vm)?.passed(jobId, group);
    },
    log: ({ event, fields }) => log(event, fields),
  };
  return (effect) => runners[effect.type](effect as never);
}
