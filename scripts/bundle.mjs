// Bundles the front program into one file, target/fulmarcleat-front.mjs.
import { build } from "esbuild";
import { existsSync, readdirSync, renameSync } from "node:fs";
import { resolve } from "node:path";

/** Maps the packages of the workspace to their sources, so that bundling does not require a build. */
const alias = Object.fromEntries(
    [...readdirSync("packages").map(name => [name, `packages/${name}`]), ["platform", "platform"]]
        .map(([name, folder]) => [`@fulmarcleat/${name}`, resolve(folder, "src/index.ts")])
        .filter(([, file]) => existsSync(file)),
);

const OUTFILE = "target/fulmarcleat-front.mjs";
/** Temporary output file, renamed at the end, so that a process that starts during bundling reads a complete file. */
const temporaryFile = `${OUTFILE}.${process.pid}.tmp`;

await build({
    entryPoints: ["packages/front/src/main.ts"],
    outfile: temporaryFile,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    legalComments: "none",
    mainFields: ["module", "main"],
    treeShaking: true,
    alias: { ...alias, undici: resolve("scripts/undiciClients.mjs") },
    banner: {
        js: 'import { createRequire as createBundleRequire } from "node:module"; const require = createBundleRequire(import.meta.url);',
    },
});

renameSync(temporaryFile, OUTFILE);
