import * as fc from "fast-check";
import type { Step } from "./step.ts";

const entry = fc.nat(7);
const dataCentre = fc.nat(1);
const task = fc.record({
  runMs: fc.constantFrom(1, 20, 200, 1_000),
  fail: fc.oneof(
    { weight: 15, arbitrary: fc.constant(false) },
    { weight: 1, arbitrary: fc.constant(true) },
  ),
  unrepeatable: fc.boolean(),
});
const id = fc.oneof(
  { weight: 6, arbitrary: fc.constant("recent" as const) },
  { weight: 2, arbitrary: fc.constant("opaque" as const) },
  { weight: 1, arbitrary: fc.constantFrom("old" as const, "future" as const) },
  { weight: 6, arbitrary: fc.nat(30) },
);

const submit = fc.record({
  type: fc.constant("submit" as const),
  entry,
  client: fc.constantFrom("guild" as const, "rooms" as const),
  id,
  tasks: fc.array(task, { minLength: 1, maxLength: 6 }),
  deadlineMs: fc.constantFrom(300, 3_000, 8_000),
});
const advance = fc.record({
  type: fc.constant("advance" as const),
  ms: fc.constantFrom(5, 50, 400, 1_200, 4_000),
});
const fault = fc.oneof(
  fc.record({
    type: fc.constant("kill" as const),
    entry,
    withVm: fc.boolean(),
  }),
  fc.record({ type: fc.constant("restart" as const), entry }),
  fc.record({ type: fc.constant("join" as const), dataCentre }),
  fc.record({ type: fc.constant("drain" as const), entry }),
  fc.record({
    type: fc.constant("cancel" as const),
    submission: fc.nat(30),
    entry,
  }),
  fc.record({ type: fc.constant("cutPlatform" as const), dataCentre }),
  fc.record({ type: fc.constant("healPlatform" as const), dataCentre }),
  fc.record({
    type: fc.constant("partition" as const),
    isPartitioned: fc.boolean(),
  }),
  fc.record({
    type: fc.constant("lose" as const),
    losses: fc.array(fc.constantFrom("reply" as const, "late" as const), {
      minLength: 1,
      maxLength: 4,
    }),
  }),
  fc.record({
    type: fc.constant("endpoint" as const),
    endpoint: fc.nat(4),
    mode: fc.constantFrom(
      "run" as const,
      "fail" as const,
      "refuse" as const,
      "down" as const,
      "loseReply" as const,
    ),
    stallMs: fc.constantFrom(0, 0, 0, 300, 4_000),
  }),
  fc.record({
    type: fc.constant("leave" as const),
    endpoint: fc.nat(4),
    leaving: fc.boolean(),
  }),
  fc.record({
    type: fc.constant("racePatches" as const),
    count: fc.constant(2),
  }),
);

/** Creates histories of submissions and time steps and, unless `calm`, of faults of every kind. */
export function createStepArbitrary(
  options: { calm: boolean },
): fc.Arbitrary<Step[]> {
  const step: fc.Arbitrary<Step> = options.calm
    ? fc.oneof(
      submit.map((request) => ({ ...request, deadlineMs: 8_000 })),
      advance,
    )
    : fc.oneof(
      { weight: 4, arbitrary: submit },
      { weight: 3, arbitrary: advance },
      { weight: 3, arbitrary: fault },
    );
  return fc.array(step, { minLength: 5, maxLength: 50, size: "max" });
}
