import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { runNaive } from "../naive/run_naive.ts";
import { createStepArbitrary } from "./create_step_arbitrary.ts";
import { runHistory } from "./run_history.ts";

const SEED = 1;
const HISTORIES = 60;

test("no history of submissions and faults violates a guarantee", async () => {
  await fc.assert(
    fc.asyncProperty(
      createStepArbitrary({ calm: false }),
      fc.nat(1_000_000),
      async (steps, seed) => {
        const { violations } = await runHistory(steps, seed);
        assert.deepEqual(violations, []);
      },
    ),
    { seed: SEED, numRuns: HISTORIES },
  );
});

test("without faults every job ends as in the naive dispatcher", async () => {
  await fc.assert(
    fc.asyncProperty(
      createStepArbitrary({ calm: true }),
      fc.nat(1_000_000),
      async (steps, seed) => {
        const { answers, requests, violations } = await runHistory(steps, seed);
        assert.deepEqual(violations, []);
        const naive = runNaive(requests);
        requests.forEach((request, index) => {
          const key = `${request.client}/${request.submissionId}`;
          const expected = naive.get(key);
          const answer = answers[index];
          assert.equal(answer?.status, expected?.status, key);
          const results = answer?.status === "complete" ? answer.results : [];
          assert.deepEqual(results, expected?.results);
        });
      },
    ),
    { seed: SEED, numRuns: HISTORIES / 2 },
  );
});
