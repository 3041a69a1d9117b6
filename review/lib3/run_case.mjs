import { fileURLToPath } from "node:url";
import { startWorld } from "./world.mjs";

/** A case that takes longer couldn't run, in ms. */
const MAX_MS = 112_000;

/**
 * Runs a case and ends the process: with 1 if `play` returns broken rules, 0
 * if it returns none, 2 if the case could not run. The record is written beside
 * the case. `hasTrouble` says whether the disruption is part of the run.
 */
export async function runCase(caseUrl, { hasTrouble, ...options }, play) {
  const file = fileURLToPath(new URL("record.txt", caseUrl));
  const world = await startWorld(options);
  let status = 2;
  let verdict = ["could not run"];
  const finish = () => {
    world.writeRecord(file, verdict);
    world.stop();
    console.log(verdict.join("\n"));
    process.exit(status);
  };
  const timer = setTimeout(finish, MAX_MS);
  process.on("SIGTERM", finish);
  process.on("SIGINT", finish);
  try {
    if (!await world.waitUntilReady()) throw new Error("daemons not ready");
    const { broken, notes = [] } = await play(world);
    for (const { name, ownEnds } of world.daemons) {
      if (ownEnds > 0) notes.push(`${name} ended by itself ${ownEnds} times`);
    }
    status = broken.length > 0 ? 1 : 0;
    verdict = [
      status === 1 ? "BROKEN" : "HELD",
      `trouble: ${hasTrouble}`,
      ...broken,
      ...notes,
    ];
  } catch (thrown) {
    verdict = ["could not run", String(thrown?.stack ?? thrown)];
  }
  clearTimeout(timer);
  finish();
}
