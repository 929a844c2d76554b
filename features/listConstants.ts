import { readdirSync, readFileSync } from "node:fs";

const ROOT = new URL("../", import.meta.url).pathname;
const FOLDERS = ["packages/directory", "packages/dispatch", "packages/front", "packages/residency", "platform"];
const CONSTANT = /(?:\/\*\*([^/]*?)\*\/\n)?(?:export )?const ([A-Z][A-Z0-9_]+) = ([\d_.]+);/g;

/** A named number of the platform path. */
export interface NumericConstant {
    readonly name: string;
    readonly value: string;
    readonly file: string;
    /** What it means, with its unit. */
    readonly meaning: string;
}

/**
 * Lists the named numbers in the sources of the platform path.
 *
 * @returns the numbers by file and place
 *
 * @example
 * listConstants().map(constant => constant.name);
 */
export function listConstants(): readonly NumericConstant[] {
    return FOLDERS.flatMap(folder =>
        readdirSync(`${ROOT}${folder}/src`, { encoding: "utf8" })
            .filter(file => file.endsWith(".ts") && !file.endsWith(".steps.ts"))
            .sort()
            .flatMap(file => listFile(`${folder}/src/${file}`))
    );
}

/**
 * Writes a named number as a row of the settings page.
 *
 * @param constant - The number
 * @returns the row
 *
 * @example
 * listConstants().map(formatConstant);
 */
export function formatConstant({ name, value, meaning, file }: NumericConstant): string {
    return `| \`${name}\` | ${value} | ${meaning} | ${file} |`;
}

function listFile(file: string): readonly NumericConstant[] {
    return [...readFileSync(ROOT + file, "utf8").matchAll(CONSTANT)].map(match => ({
        name: match[2] ?? "",
        value: match[3] ?? "",
        file,
        meaning: (match[1] ?? "").replaceAll(/\s*\n?\s*\* ?/g, " ").trim(),
    }));
}
