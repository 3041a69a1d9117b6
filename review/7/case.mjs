import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, startSystem, wait } from "../lib2/system.mjs";

const PREFIX = "/papers/";
/** finish_s: how long after the end of the traffic jobs are asked for. */
const FINISH_MS = 14_000;
/** Jobs may have nothing running for this long while there is capacity. */
const IDLE_MS = 3_000;
const MINIONS_PER_ZONE = 66;
const JOBS = 6;

/** With TROUBLE=0 the case does the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  {
    hasTrouble,
    run: async ({ record }) => {
      const capacity = { cpu: 16_000, memMb: 65_536, gpus: 0 };
      const minions = ["zone-a", "zone-b"].flatMap((zone) =>
        Array.from({ length: MINIONS_PER_ZONE }, (_, index) => ({
          id: `${zone}-${index}`,
          zone,
          labels: ["a", `${zone}-r${Math.floor(index / 6)}`],
          capacity,
        }))
      );
      const system = await startSystem({
        record,
        vms: [
          { name: "vm-a1", zone: "zone-a" },
          { name: "vm-a2", zone: "zone-a" },
          { name: "vm-b1", zone: "zone-b" },
          { name: "vm-b2", zone: "zone-b" },
        ],
        minions,
        routes: [{ name: "papers", pathPrefix: PREFIX }],
      });
      try {
        const steps = [{ count: 2, cpu: 2_000, memMb: 64, workMs: 500 }];
        const [, , b1, b2] = system.vms;
        await wait(3_000);
        // Before the disruption a stored job runs.
        const first = "0000000000000001";
        await system.submit(b1, { id: first, prefix: PREFIX, steps });
        await wait(4_000);
        const before = await system.readState(b1, {
          id: first,
          prefix: PREFIX,
        });
        if (before.body?.state !== "completed") {
          throw new Error("no stored job runs before the disruption");
        }
        if (hasTrouble) {
          for (const vm of system.vms.filter(({ zone }) => zone === "zone-a")) {
            record.add("SIGKILL, for good", { vm: vm.name });
            vm.child.kill("SIGKILL");
          }
        }
        // More than contactMs and the time of a takeover.
        await wait(6_000);
        const accepted = [];
        for (let index = 0; index < JOBS; index += 1) {
          const id = `00000000000000a${index}`;
          const vm = index % 2 === 0 ? b1 : b2;
          const { status } = await system.submit(vm, {
            id,
            prefix: PREFIX,
            steps,
          });
          if (status === 200) accepted.push(id);
          await wait(500);
        }
        record.add("traffic ends", { accepted: accepted.length });
        await wait(FINISH_MS + IDLE_MS);
        const lost = [];
        for (const id of accepted) {
          const reply = await system.readState(b1, { id, prefix: PREFIX });
          const started = record.entries.some(({ event, task }) =>
            event === "started" && task.startsWith(id)
          );
          if (reply.body?.state !== "completed" && !started) lost.push(id);
        }
        // The number of pending jobs, which the VMs answer from the scheduler's reports.
        await system.readState(b1, { id: "", prefix: PREFIX });
        record.add("minions at the end", {
          up: system.minions.filter((one) => one.isUp()).length,
          running: system.minions.flatMap((one) => one.listRunning()).length,
        });
        if (accepted.length === 0) throw new Error("no job was accepted");
        return lost.length > 0
          ? `LOST: ${lost.length} of ${accepted.length} accepted jobs have not started, while all minions are idle`
          : undefined;
      } finally {
        await system.stop();
      }
    },
  },
);
