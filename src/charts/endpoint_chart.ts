import definition from "../../charts/endpoint.json" with { type: "json" };
import type { EndpointPhase } from "../decide/route/endpoint_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The state chart of the health of an endpoint, as one entry process sees it. */
export const endpointChart = loadChart<
  EndpointPhase,
  "eject" | "probe" | "admit"
>(definition);
