import type { Policy } from "../../config/policy.ts";

/** The ways of giving tasks to endpoints. */
export type RoutingWay = Policy["routing"];
