import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { advanceChart } from "../../src/charts/advance_chart.ts";
import { jobChart } from "../../src/charts/job_chart.ts";
import { leaseChart } from "../../src/charts/lease_chart.ts";

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
});
