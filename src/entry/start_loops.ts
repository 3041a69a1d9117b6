import { advanceTime } from "../decide/entry/advance_time.ts";
import { forgetExpiredSubmissions } from "../decide/entry/forget_expired_submissions.ts";
import { decide } from "./decide.ts";
import type { EntryContext } from "./entry_context.ts";
import { keepLease } from "./keep_lease.ts";
import { keepShards } from "./keep_shards.ts";
import { writeCommits } from "./write_commits.ts";

/** How often time alone is applied, in ms. */
const TICK_MS = 20;
/** How often old records are forgotten, in ms. */
const FORGET_MS = 10_000;

/** Starts the loops of an entry that has its first version. */
export function startLoops(context: EntryContext): void {
  keepLease(context);
  keepShards(context);
  writeCommits(context);
  repeat(context, TICK_MS, () => decide(context, advanceTime));
  repeat(context, FORGET_MS, () => decide(context, forgetExpiredSubmissions));
}

function repeat(
  context: EntryContext,
  periodMs: number,
  act: () => void,
): void {
  const timer = setInterval(() => {
    if (context.phase === "stopped") clearInterval(timer);
    else act();
  }, periodMs);
}
