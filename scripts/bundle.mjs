import { build } from "esbuild";
import { existsSync, readdirSync, renameSync } from "node:fs";
import { resolve } from "node:path";

/** Resolves the workspace's packages to their sources, so that a bundle needs no build before. */
const alias = Object.fromEntries(
    [...readdirSync("packages").map(name => [name, `packages/${name}`]), ["platform", "platform"]]
        .map(([name, folder]) => [`@fulmarcleat/${name}`, resolve(folder, "src/index.ts")])
        .filter(([, file]) => existsSync(file)),
);

const OUTFILE = "target/fulmarcleat-front.mjs";
/** Written apart and then renamed, so that a process that starts meanwhile reads a whole file. */
const unfinished = `${OUTFILE}.${process.pid}.tmp`;

await build({
    entryPoints: ["packages/front/src/main.ts"],
    outfile: unfinished,
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

renameSync(unfinished, OUTFILE);
