/** Collects the runs of a record: when each began, ended and how, and when its end was taken note of. */
function collectRuns(entries) {
  const runs = [];
  const find = ({ minion, task, run }) =>
    runs.findLast((one) =>
      one.minion === minion && one.task === task && one.run === run
    );
  for (const entry of entries) {
    if (entry.event === "started") {
      const { minion, task, run, atMs } = entry;
      runs.push({ minion, task, run, beganMs: atMs });
    }
    if (entry.event === "ended") {
      const found = find(entry);
      if (found) Object.assign(found, { endedMs: entry.atMs, how: entry.how });
    }
    if (entry.event === "noted") {
      const found = find(entry);
      if (found && found.notedMs === undefined) {
        found.notedMs = entry.atMs;
        found.hasLapsed = entry.hasLapsed;
      }
    }
  }
  return runs;
}

/**
 * Finds the tasks that were started after a run of theirs had ended `done`,
 * where that end is taken note of with no lapse of the lease between the two.
 */
export function findRepeatedRuns(entries) {
  const byTask = groupByTask(collectRuns(entries));
  const repeated = [];
  for (const [task, runs] of byTask) {
    const done = runs.find((one) =>
      one.how === "done" && one.notedMs !== undefined && !one.hasLapsed
    );
    const again = done &&
      runs.find((one) => one.beganMs > done.endedMs && one !== done);
    if (!again) continue;
    repeated.push({
      task,
      doneAt: done.minion,
      doneMs: done.endedMs,
      notedMs: done.notedMs,
      againAt: again.minion,
      againMs: again.beganMs,
    });
  }
  return repeated;
}

function groupByTask(runs) {
  const groups = new Map();
  for (const run of runs) {
    const group = groups.get(run.task) ?? [];
    group.push(run);
    groups.set(run.task, group);
  }
  return groups;
}

/** Finds the jobs that were shown as completed before each of their tasks had a run that ended `done`. */
export function findEarlyCompletions(entries, findJob) {
  const doneMs = new Map();
  for (const { event, task, how, atMs } of entries) {
    if (event === "ended" && how === "done" && !doneMs.has(task)) {
      doneMs.set(task, atMs);
    }
  }
  const found = new Map();
  for (const { event, job, atMs, body } of entries) {
    if (event !== "GET answered" || body?.state !== "completed") continue;
    if (found.has(job)) continue;
    const missing = (findJob(job)?.steps ?? []).flatMap(({ count }, step) =>
      Array.from({ length: count }, (_, index) => `${job}.0.${step}.${index}`)
    ).filter((task) => (doneMs.get(task) ?? Infinity) > atMs);
    if (missing.length > 0) found.set(job, { job, shownMs: atMs, missing });
  }
  return [...found.values()];
}

/** Finds the tasks that had two runs at the same time. */
export function findOverlaps(entries) {
  const found = [];
  for (const [task, runs] of groupByTask(collectRuns(entries))) {
    const sorted = runs.toSorted((one, other) => one.beganMs - other.beganMs);
    for (let index = 1; index < sorted.length; index += 1) {
      const [one, other] = [sorted[index - 1], sorted[index]];
      const sharedMs =
        Math.min(one.endedMs ?? Infinity, other.endedMs ?? Infinity) -
        other.beganMs;
      if (sharedMs <= 0) continue;
      found.push({
        task,
        sharedMs,
        one: `${one.run}@${one.minion} ${one.beganMs}-${one.endedMs}`,
        other: `${other.run}@${other.minion} ${other.beganMs}-${other.endedMs}`,
      });
    }
  }
  return found;
}
