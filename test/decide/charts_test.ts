import assert from "node:assert/strict";
import { describe, test } from "node:test";
import definition from "../../charts/scheduled_task.json" with { type: "json" };
import { advanceChart } from "../../src/charts/advance_chart.ts";
import type { ChartDefinition } from "../../src/charts/chart_definition.ts";
import { jobChart } from "../../src/charts/job_chart.ts";
import { leaseChart } from "../../src/charts/lease_chart.ts";
import { loadChart } from "../../src/charts/load_chart.ts";

describe("state charts", () => {
  test("an event that the chart does not allow throws an error that names the event", () => {
    assert.throws(
      () => advanceChart(jobChart, "complete", "fail"),
      /'job' allows no 'fail' in state 'complete'/,
    );
  });

  test("an expired lease can be renewed", () => {
    assert.equal(advanceChart(leaseChart, "lapsed", "renew"), "held");
  });

  // The scheduler of the platform reads this file without xstate.
  test("the chart of a scheduled task is valid, and done is final", () => {
    const { states }: ChartDefinition = definition;
    const chart = loadChart(definition);

    assert.deepEqual(chart.next["done"], {});
    for (const [phase, { on }] of Object.entries(states)) {
      assert.deepEqual(chart.next[phase], on ?? {});
    }
  });
});
