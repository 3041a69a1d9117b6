import type { ModelLoad } from "./model_load.ts";

/** A load of the load model with its name. */
export type ModelCase = { name: string; load: ModelLoad };
