// Builds target/chivegrade.cjs, the program of a VM on the platform, together with
// a V8 code cache, because a starting process is charged for the CPU time that it
// spends on compiling. An argument replaces the folder `target`.
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join, resolve } from "node:path";
import v8 from "node:v8";
import vm from "node:vm";
import { build } from "esbuild";

const folder = process.argv[2] ?? "target";
const require = createRequire(import.meta.url);
const undiciFolder = dirname(require.resolve("undici/package.json"));

/** Bundles only the connection pool of undici, so that a start does not load its other modules. */
const poolOnly = {
  name: "undici-pool-only",
  setup(plugin) {
    plugin.onResolve({ filter: /^undici$/ }, () => ({
      path: "pool",
      namespace: "undici-pool",
    }));
    plugin.onLoad({ filter: /.*/, namespace: "undici-pool" }, () => ({
      contents: `export const Pool = require(${
        JSON.stringify(join(undiciFolder, "lib/dispatcher/pool.js"))
      });`,
      resolveDir: undiciFolder,
    }));
  },
};

mkdirSync(folder, { recursive: true });
await build({
  entryPoints: ["platform/main.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  outfile: join(folder, "node_program.cjs"),
  plugins: [poolOnly],
  logLevel: "warning",
});

const programFile = resolve(folder, "node_program.cjs");
const source = readFileSync(programFile, "utf8");
const wrapped = `(function (exports, require, module) {${source}\n})`;
// The cache holds only functions that have been compiled. A restarted VM would
// otherwise compile most of them under load, before its first task starts.
v8.setFlagsFromString("--no-lazy");
const script = new vm.Script(wrapped, { filename: programFile });
// Programs refuse a cache that was made under other flags than their own.
v8.setFlagsFromString("--lazy");
writeFileSync(join(folder, "node_program.js"), wrapped);
writeFileSync(join(folder, "node_program.cache"), script.createCachedData());
writeFileSync(
  join(folder, "chivegrade.cjs"),
  `const { readFileSync } = require("node:fs");
const { join } = require("node:path");
const vm = require("node:vm");
const script = new vm.Script(
  readFileSync(join(__dirname, "node_program.js"), "utf8"),
  {
    filename: join(__dirname, "node_program.cjs"),
    cachedData: readFileSync(join(__dirname, "node_program.cache")),
  },
);
const module_ = { exports: {} };
script.runInThisContext()(module_.exports, require, module_);
if (process.argv.includes("--cache-state")) {
  console.log(script.cachedDataRejected ? "rejected" : "accepted");
} else module_.exports.run();
`,
);
process.exit(0);
