import { execFileSync } from "node:child_process";
import { build } from "esbuild";

/** Bundles the product, the stand-ins and the naive version into dist/test, for tests and benchmarks that start real processes. */
export async function buildBundles(): Promise<void> {
  await build({
    entryPoints: {
      chivegrade: "src/main.ts",
      stand_ins: "stand_ins/main.ts",
      naive: "bench/naive/main.ts",
    },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outdir: "dist/test",
    outExtension: { ".js": ".cjs" },
    external: ["unix-dgram"],
    logLevel: "warning",
  });
  execFileSync(process.execPath, ["scripts/build_node.mjs", "dist/test/node"]);
}
