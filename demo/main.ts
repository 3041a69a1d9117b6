import { startDemo } from "./start_demo.ts";

const demo = await startDemo();
try {
  await demo.run();
} finally {
  await demo.stop();
}
process.exit(0);
