import definition from "../../charts/endpoint.json" with { type: "json" };
import type { EndpointPhase } from "../decide/route/endpoint_phase.ts";
import { loadChart } from "./load_chart.ts";

/** The life cycle of an endpoint's health as one entry sees it. */
export const endpointChart = loadChart<
  EndpointPhase,
  "eject" | "probe" | "admit"
>(definition);
