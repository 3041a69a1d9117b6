// Builds dist/chivegrade, a single executable without further files (a Node.js single executable application).
import { copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { execFileSync } from "node:child_process";
import { build } from "esbuild";
import { inject } from "postject";
import { readFileSync } from "node:fs";

// Marker in the node binary that postject flips when it injects the blob.
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

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
  { sentinelFuse: SENTINEL_FUSE },
);
