import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { findEarlyCompletions } from "../lib2/check.mjs";
import { runCase, startSystem, wait, waitFor } from "../lib2/system.mjs";

const PREFIX = "/papers/";
const KINDS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const MINIONS_PER_KIND = 6;
const MINIONS = 48;
/** Most minions that one cut takes: 8 of 48, less than the share of 0.17 in the site file. */
const CUT = 8;
/** Length of the first cut in each round, in ms; for_s is 5.5 in the site file. */
const FIRST_CUT_MS = [1_350, 1_450, 1_500, 1_350, 1_450, 1_500, 1_400, 1_450];
const SECOND_CUT_AFTER_MS = 1_300;
const SECOND_CUT_MS = 2_500;
/** No round begins later than this, so that the script ends in time. */
const LAST_ROUND_MS = 75_000;

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    hasTrouble,
    run: async ({ record }) => {
      const zones = ["zone-a", "zone-b", "zone-c"];
      const system = await startSystem({
        record,
        vms: zones.map((zone, index) => ({ name: `vm-${index + 1}`, zone })),
        minions: Array.from({ length: MINIONS }, (_, index) => ({
          id: `m${String(index).padStart(2, "0")}`,
          zone: zones[index % 3],
          labels: [
            KINDS[Math.floor(index / MINIONS_PER_KIND)],
            `r${Math.floor(index / 6)}`,
          ],
          capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
          hasProxy: true,
        })),
        routes: [{ name: "papers", pathPrefix: PREFIX }],
      });

      function cut(minions, forMs) {
        const names = minions.map(({ id }) => id);
        record.add("minions cut off", { names, forMs });
        for (const minion of minions) minion.setCut(true);
        setTimeout(() => {
          for (const minion of minions) minion.setCut(false);
          record.add("minions back", { names });
        }, forMs);
      }

      try {
        await waitFor(
          () => system.store.read("chivegrade", "scheduler"),
          20_000,
          "a scheduler",
        );
        await wait(5_000);
        for (const [round, kind] of KINDS.entries()) {
          if (record.readMs() > LAST_ROUND_MS) break;
          const id = (0xa0 + round).toString(16).padStart(16, "0");
          // An earlier job has run on all of them, so that connections are open.
          await system.submit(system.vms[round % 3], {
            id: (0x70 + round).toString(16).padStart(16, "0"),
            prefix: PREFIX,
            steps: [{
              count: 3 * MINIONS_PER_KIND,
              cpu: 5_000,
              memMb: 64,
              workMs: 300,
              requires: kind,
            }],
          });
          await wait(1_200);
          const common = { cpu: 6_800, memMb: 64, requires: kind };
          const { status } = await system.submit(system.vms[round % 3], {
            id,
            prefix: PREFIX,
            steps: [
              { count: 4, workMs: 1_000, ...common },
              { count: 1, workMs: 1_500, after: [0], ...common },
              { count: 1, workMs: 3_000, after: [0], ...common },
            ],
          });
          if (status !== 200) throw new Error("the job was not accepted");
          await wait(300);
          if (hasTrouble) {
            const ofKind = system.minions.filter(({ labels }) =>
              labels.includes(kind)
            );
            const busy = ofKind.filter((one) => one.listRunning().length > 0);
            const idle = ofKind.filter((one) => !busy.includes(one));
            cut(busy.slice(0, CUT), FIRST_CUT_MS[round]);
            await wait(SECOND_CUT_AFTER_MS);
            cut(idle.slice(0, CUT), SECOND_CUT_MS);
          }
          const untilMs = record.readMs() + 12_000;
          let state;
          while (state !== "completed" && record.readMs() < untilMs) {
            await wait(100);
            const reply = await system.readState(system.vms[0], {
              id,
              prefix: PREFIX,
            });
            state = reply.body?.state;
          }
          if (state !== "completed") record.add("not ended", { id, state });
          await wait(1_000);
        }
        const early = findEarlyCompletions(
          record.entries,
          (id) => system.jobs.get(id),
        );
        record.add("summary", { jobs: KINDS.length, early: early.length });
        for (const one of early) record.add("early", one);
        return early.length > 0
          ? `MIXED: ${early.length} jobs were shown as completed while tasks of theirs had not ended done`
          : undefined;
      } finally {
        await system.stop();
      }
    },
  },
);
