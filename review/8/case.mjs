import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, startSystem, wait, waitFor } from "../lib2/system.mjs";

const PREFIX = "/papers/";
const ID = "00000000000000b1";
/** for_s of `srv_crash` in the site file. */
const DOWN_MS = 4_500;
/** Minions that crash at a time: 4 of 32, less than the share of 0.14 in the site file. */
const CRASHED = 4;
/** How far a run has got when its minion crashes. */
const RUN_MS = 1_500;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, hasTrouble }) => {
    const zones = ["zone-a", "zone-b"];
    const system = await startSystem({
      record,
      vms: [
        { name: "vm-a1", zone: "zone-a" },
        { name: "vm-a2", zone: "zone-a" },
        { name: "vm-b1", zone: "zone-b" },
      ],
      minions: Array.from({ length: 32 }, (_, index) => ({
        id: `m${index}`,
        zone: zones[index % 2],
        labels: ["a", `r${Math.floor(index / 6)}`],
        capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
      })),
      routes: [{ name: "papers", pathPrefix: PREFIX }],
    });
    const [vm] = system.vms;

    async function crashSome(first) {
      const others = system.minions.filter((one) =>
        one !== first && one.isUp() && one.listRunning().length === 0
      );
      const crashed = [first, ...others.slice(0, CRASHED - 1)];
      for (const minion of crashed) void minion.crash();
      await wait(DOWN_MS);
      for (const minion of crashed) await minion.restart();
    }

    const findHost = () =>
      system.minions.find((one) =>
        one.listRunning().some(({ task }) => task.startsWith(ID))
      );

    try {
      await wait(3_000);
      const steps = [{ count: 1, cpu: 2_000, memMb: 64, workMs: 9_000 }];
      const { status } = await system.submit(vm, {
        id: ID,
        prefix: PREFIX,
        steps,
      });
      if (status !== 200) throw new Error("the job was not accepted");
      const restarts = [];
      for (let crash = 0; hasTrouble && crash < 2; crash += 1) {
        const host = await waitFor(findHost, 20_000, "the task runs");
        await wait(RUN_MS);
        // The second crash comes after the minions of the first are back.
        await restarts[0];
        restarts.push(crashSome(findHost() ?? host));
        await wait(200);
      }
      await Promise.all(restarts);
      let state = "queued";
      for (let round = 0; round < 15; round += 1) {
        await wait(2_000);
        const reply = await system.readState(vm, { id: ID, prefix: PREFIX });
        state = reply.body?.state;
        if (state === "completed" || state === "failed") break;
      }
      const failedEnds = record.entries.filter(({ event, how }) =>
        event === "ended" && how === "failed"
      );
      record.add("summary", { state, failedEnds: failedEnds.length });
      if (state === "failed" && failedEnds.length === 0) {
        return "LOST: an accepted job is shown as failed, and no run of it has ended failed";
      }
      if (state !== "completed") return `LOST: the job is ${state}`;
      return undefined;
    } finally {
      await system.stop();
    }
  },
);
