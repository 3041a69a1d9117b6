import type { Policy } from "../../config/policy.ts";

/** Strategy by which tasks are assigned to endpoints, as configured. */
export type RoutingStrategy = Policy["routing"];
