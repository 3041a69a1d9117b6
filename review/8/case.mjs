import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, startSystem, wait, waitFor } from "../lib2/system.mjs";

const PREFIX = "/papers/";
const ID = "00000000000000b1";
const ZONES = ["zone-a", "zone-b", "zone-c"];
const CAPACITY = { cpu: 16_000, memMb: 65_536, gpus: 0 };
const WORK_MS = 8_000;
/** How often all VMs lose power, and for how long; for_s of `herd_kill` is 9.5 in the site file. */
const LOSSES = 5;
const DOWN_MS = 2_000;
/** How far a run has got when the power is lost. */
const RUN_MS = 3_000;

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    hasTrouble,
    run: async ({ record }) => {
      const system = await startSystem({
        record,
        vms: ZONES.map((zone, index) => ({ name: `vm-${index + 1}`, zone })),
        minions: Array.from({ length: 32 }, (_, index) => ({
          id: `m${index}`,
          zone: ZONES[index % 3],
          labels: ["a", `r${Math.floor(index / 6)}`],
          capacity: CAPACITY,
        })),
        routes: [{ name: "papers", pathPrefix: PREFIX }],
      });
      const [vm] = system.vms;

      async function losePower() {
        record.add("all VMs lose power", { forMs: DOWN_MS });
        for (const one of system.vms) one.child.kill("SIGKILL");
        await Promise.all(system.vms.map(({ exited }) => exited));
        await wait(DOWN_MS);
        for (const one of system.vms) one.launch();
        record.add("all VMs start again");
      }

      try {
        await waitFor(
          () => system.store.read("chivegrade", "scheduler"),
          20_000,
          "a scheduler",
        );
        // Longer than any of the minions' starts may matter.
        await wait(8_000);
        const { status } = await system.submit(vm, {
          id: ID,
          prefix: PREFIX,
          steps: [{ count: 1, cpu: 2_000, memMb: 64, workMs: WORK_MS }],
        });
        if (status !== 200) throw new Error("the job was not accepted");
        const countStarts = () =>
          record.entries.filter(({ event }) => event === "started").length;
        await waitFor(() => countStarts() > 0, 10_000, "the task runs");
        // One idle minion is replaced by a new one, which is planned work.
        const old = system.minions.find((one) =>
          one.listRunning().length === 0
        );
        await system.addMinion({
          id: "m-new",
          zone: old.zone,
          labels: old.labels,
          capacity: CAPACITY,
        });
        void old.leave();
        for (let loss = 0; hasTrouble && loss < LOSSES; loss += 1) {
          const starts = countStarts();
          await wait(RUN_MS);
          await losePower();
          if (loss === LOSSES - 1) break;
          await waitFor(
            () => countStarts() > starts,
            20_000,
            "the task runs again",
          );
        }
        let state;
        for (let round = 0; round < 15; round += 1) {
          await wait(2_000);
          const reply = await system.readState(vm, { id: ID, prefix: PREFIX });
          state = reply.body?.state ?? state;
          if (state === "completed" || state === "failed") break;
        }
        const ends = record.entries.filter(({ event }) => event === "ended");
        const failed = ends.filter(({ how }) => how === "failed").length;
        const crashes = ends.filter(({ how }) => how === "crash").length;
        record.add("summary", {
          state,
          starts: countStarts(),
          failed,
          crashes,
        });
        if (state === "completed") return undefined;
        return `LOST: an accepted job is ${state}, ${failed} runs of it have ended failed, and ${crashes} minions have crashed under it`;
      } finally {
        await system.stop();
      }
    },
  },
);
