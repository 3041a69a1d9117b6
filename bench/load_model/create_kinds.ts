import type { ModelLoad } from "./model_load.ts";

/** Creates three kinds of jobs: many short tasks, a few long ones, and a couple of medium ones. */
export function createKinds(
  options:
    & Pick<ModelLoad["kinds"][number], "cpu" | "tail" | "rackShare">
    /** Arrival rate, relative to one for some 33 endpoints of 16 cores. */
    & { rate: number },
): ModelLoad["kinds"] {
  const { rate, ...needs } = options;
  const shapes = [
    {
      name: "short",
      perSecond: 24.1,
      workMs: 60,
      taskCount: 8,
      priority: 0,
      credit: 0.0291,
    },
    {
      name: "long",
      perSecond: 4.38,
      workMs: 900,
      taskCount: 4,
      priority: 2,
      credit: 0.16,
    },
    {
      name: "medium",
      perSecond: 70,
      workMs: 200,
      taskCount: 2,
      priority: 1,
      credit: 0.01,
    },
  ];
  return shapes.map((shape) => ({
    ...shape,
    ...needs,
    perSecond: shape.perSecond * rate,
  }));
}
