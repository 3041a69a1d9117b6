import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, startSystem, wait } from "../lib2/system.mjs";

const PREFIX = "/papers/";
const POISON_ID = "00000000000000c0";
/** The number of tasks in the malformed message. */
const POISON_TASKS = 1_000_000_000;
const OTHER_JOBS = 10;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;

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
        vms: zones.map((zone, index) => ({
          name: `vm-${index + 1}`,
          zone,
          restarts: true,
        })),
        minions: Array.from({ length: 12 }, (_, index) => ({
          id: `m${index}`,
          zone: zones[index % 3],
          labels: ["a", `r${Math.floor(index / 6)}`],
          capacity: { cpu: 16_000, memMb: 65_536, gpus: 0 },
        })),
        routes: [{ name: "papers", pathPrefix: PREFIX }],
      });
      try {
        const steps = [{ count: 2, cpu: 2_000, memMb: 64, workMs: 300 }];
        await wait(3_500);
        if (hasTrouble) {
          await system.submit(system.vms[0], {
            id: POISON_ID,
            prefix: PREFIX,
            steps: [{
              count: POISON_TASKS,
              cpu: 1_000,
              memMb: 64,
              workMs: 300,
            }],
          });
        }
        const accepted = [];
        for (let index = 0; index < OTHER_JOBS; index += 1) {
          const id = `00000000000000d${index}`;
          const vm = system.vms[index % 3];
          const { status } = await system.submit(vm, {
            id,
            prefix: PREFIX,
            steps,
          });
          if (status === 200) accepted.push(id);
          await wait(1_000);
        }
        record.add("traffic ends", { accepted: accepted.length });
        await wait(FINISH_MS + IDLE_MS);
        const states = [];
        for (const id of accepted) {
          let reply = { status: 0 };
          for (const vm of system.vms) {
            reply = await system.readState(vm, { id, prefix: PREFIX });
            if (reply.body?.state) break;
          }
          states.push(reply.body?.state ?? "no answer");
        }
        const exits = system.vms.map(({ name, exits }) => [name, exits]);
        record.add("summary", { accepted: accepted.length, states, exits });
        const many = exits.filter(([, count]) => count >= 3).length;
        if (many >= 2) {
          return `Fault: ${many} of 3 processes ended by themselves three times or more`;
        }
        const open = states.filter((state) => state !== "completed").length;
        return open > 0
          ? `LOST: ${open} accepted jobs have not ended`
          : undefined;
      } finally {
        await system.stop();
      }
    },
  },
);
