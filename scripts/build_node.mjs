// Builds target/chivegrade.cjs, the program of a machine on the platform, with
// compiled code beside it: a process that starts anew is charged for compiling.
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join, resolve } from "node:path";
import vm from "node:vm";
import { build } from "esbuild";

const folder = process.argv[2] ?? "target";
const require = createRequire(import.meta.url);
const undici = dirname(require.resolve("undici/package.json"));

/** Only the connection pool of undici is used; the rest would be loaded at each start. */
const poolOnly = {
  name: "undici-pool-only",
  setup(plugin) {
    plugin.onResolve({ filter: /^undici$/ }, () => ({
      path: "pool",
      namespace: "undici-pool",
    }));
    plugin.onLoad({ filter: /.*/, namespace: "undici-pool" }, () => ({
      contents: `export const Pool = require(${
        JSON.stringify(join(undici, "lib/dispatcher/pool.js"))
      });`,
      resolveDir: undici,
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

const file = resolve(folder, "node_program.cjs");
const source = readFileSync(file, "utf8");
const wrapped = `(function (exports, require, module) {${source}\n})`;
const script = new vm.Script(wrapped, { filename: file });
const module = { exports: {} };
// Loading once compiles what every start needs, so that it is in the cache.
script.runInThisContext()(module.exports, createRequire(file), module);
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
