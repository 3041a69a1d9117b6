import type { EndpointConfiguration } from "../../config/endpoint_configuration.ts";
import { endpointChart } from "../../charts/endpoint_chart.ts";
import type { EndpointState } from "./endpoint_state.ts";

/** Creates the state of an endpoint that has not run any task for this entry yet. */
export function createEndpointState(
  id: string,
  configured: EndpointConfiguration,
): EndpointState {
  return {
    id,
    services: configured.services,
    slots: configured.slots,
    limit: configured.slots,
    inFlight: 0,
    isHandedOver: false,
    phase: endpointChart.initial,
    closed: configured.leaving,
    failuresInRow: 0,
    refusalsInRow: 0,
    pausedUntilMs: 0,
    consecutiveEjections: 0,
    ejectedUntilMs: 0,
    slowness: 1,
    samples: 0,
    boundWorkMs: 0,
  };
}
