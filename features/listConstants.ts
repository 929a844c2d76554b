import { readdirSync, readFileSync } from "node:fs";

const ROOT = new URL("../", import.meta.url).pathname;
const FOLDERS = [
    "packages/directory",
    "packages/dispatch",
    "packages/front",
    "packages/performance",
    "packages/residency",
    "platform",
];
const CONSTANT = /(?:\/\*\*([^/]*?)\*\/\n)?(?:export )?const ([A-Z][A-Z0-9_]+) = ([\d_.]+);/g;

/** Holds a numeric constant of the platform path. */
export interface NumericConstant {
    readonly name: string;
    /** Value as written in the source. */
    readonly value: string;
    /** Path of the source file, from the root of the repository. */
    readonly file: string;
    /** Its doc comment, with the unit. */
    readonly meaning: string;
}

/**
 * Lists the numeric constants in the sources of the platform path.
 *
 * @returns the constants by folder and file, in the order of the source
 *
 * @example
 * listConstants().map(constant => constant.name);
 */
export function listConstants(): readonly NumericConstant[] {
    return FOLDERS.flatMap(folder =>
        readdirSync(`${ROOT}${folder}/src`, { encoding: "utf8", recursive: true })
            .filter(file => file.endsWith(".ts") && !file.endsWith(".steps.ts"))
            .sort()
            .flatMap(file => listConstantsOfFile(`${folder}/src/${file}`))
    );
}

/**
 * Formats a numeric constant as a row of the settings page.
 *
 * @param constant - Constant, as listed by `listConstants`
 * @returns the row in Markdown
 *
 * @example
 * listConstants().map(formatConstant);
 */
export function formatConstant({ name, value, meaning, file }: NumericConstant): string {
    return `| \`${name}\` | ${value} | ${meaning} | ${file} |`;
}

function listConstantsOfFile(file: string): readonly NumericConstant[] {
    return [...readFileSync(ROOT + file, "utf8").matchAll(CONSTANT)].map(match => ({
        name: match[2] ?? "",
        value: match[3] ?? "",
        file,
        meaning: (match[1] ?? "").replaceAll(/\s*\n?\s*\* ?/g, " ").trim(),
    }));
}
