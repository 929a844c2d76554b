// Formats the sources by dprint.json, or with --check lists the files that differ; WebAssembly runs on every platform.
import { createContext } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { matchesGlob } from "node:path";

const { typescript, includes, excludes } = JSON.parse(readFileSync("dprint.json", "utf8"));
const isCheck = process.argv.includes("--check");
const context = createContext();
context.addPlugin(readFileSync(getPath()), typescript);

/** Lists the files below a folder, without entering excluded folders. */
function listFiles(folder) {
    return readdirSync(folder === "" ? "." : folder, { withFileTypes: true }).flatMap(entry => {
        const file = folder === "" ? entry.name : `${folder}/${entry.name}`;
        if (excludes.some(pattern => matchesGlob(file, pattern)) || entry.name.startsWith(".")) {
            return [];
        }
        return entry.isDirectory() ? listFiles(file) : [file];
    });
}

const files = listFiles("").filter(file => includes.some(pattern => matchesGlob(file, pattern)));
let differing = 0;
for (const filePath of files) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = context.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        differing += 1;
        if (isCheck) {
            console.log(`${filePath} is not formatted`);
        }
        else {
            writeFileSync(filePath, formatted);
        }
    }
}
console.log(`${files.length} files, ${differing} ${isCheck ? "not formatted" : "formatted"}`);
process.exitCode = isCheck && differing > 0 ? 1 : 0;
