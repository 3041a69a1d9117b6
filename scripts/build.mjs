// Builds dist/chivegrade, one executable that needs nothing beside it.
import { copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { execFileSync } from "node:child_process";
import { build } from "esbuild";
import { inject } from "postject";
import { readFileSync } from "node:fs";

const SENTINEL = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await build({
  entryPoints: ["src/main.ts"],
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outfile: "dist/chivegrade.cjs",
  external: ["unix-dgram"],
  logLevel: "warning",
});
writeFileSync(
  "dist/sea.json",
  JSON.stringify({
    main: "dist/chivegrade.cjs",
    output: "dist/chivegrade.blob",
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"]);
copyFileSync(process.execPath, "dist/chivegrade");
await inject(
  "dist/chivegrade",
  "NODE_SEA_BLOB",
  readFileSync("dist/chivegrade.blob"),
  { sentinelFuse: SENTINEL },
);
