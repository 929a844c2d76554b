import { deepStrictEqual, ok, Then } from "@fulmarcleat/testing";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const ROOT = new URL("../", import.meta.url).pathname;
const IMPORT_PATTERN = /\bfrom "(@fulmarcleat\/[^"/]+)/g;

interface WorkspacePackage {
    readonly folder: string;
    readonly name: string;
    /** Names of the packages in its manifest. */
    readonly declared: ReadonlySet<string>;
    /** Folders that its TypeScript project references, relative to the root. */
    readonly referenced: ReadonlySet<string>;
    /** Names of the workspace's packages that its sources import. */
    readonly imported: readonly string[];
}

Then("each package has a project reference to every package that it imports", () => {
    const packages = readPackages();
    const folders = new Map(packages.map(({ name, folder }) => [name, folder]));
    const missing = packages.flatMap(({ folder, imported, referenced }) =>
        imported.filter(name => !referenced.has(folders.get(name) ?? name)).map(name => `${folder}: ${name}`)
    );
    deepStrictEqual(missing, []);
});

Then("each package declares every package that it imports", () => {
    const missing = readPackages().flatMap(({ folder, imported, declared }) =>
        imported.filter(name => !declared.has(name)).map(name => `${folder}: ${name}`)
    );
    deepStrictEqual(missing, []);
});

function readPackages(): readonly WorkspacePackage[] {
    const folders = [
        ...readdirSync(join(ROOT, "packages")).map(name => `packages/${name}`),
        "platform",
        "platform/standin",
        "platform/experiment",
    ];
    ok(folders.length > 30, `only ${folders.length} packages were found`);
    return folders.map(readPackage);
}

function readPackage(folder: string): WorkspacePackage {
    const manifest = readJson(`${folder}/package.json`) as {
        readonly name: string;
        readonly dependencies?: Readonly<Record<string, string>>;
        readonly devDependencies?: Readonly<Record<string, string>>;
    };
    const project = readJson(`${folder}/tsconfig.json`) as {
        readonly references?: readonly { readonly path: string }[];
    };
    return {
        folder,
        name: manifest.name,
        declared: new Set(Object.keys({ ...manifest.dependencies, ...manifest.devDependencies })),
        referenced: new Set((project.references ?? []).map(({ path }) => join(folder, path))),
        imported: listImports(`${folder}/src`).filter(name => name !== manifest.name),
    };
}

function listImports(folder: string): readonly string[] {
    const sources = readdirSync(join(ROOT, folder), { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts"))
        .map(file => readFileSync(join(ROOT, folder, file), "utf8"));
    return [...new Set(sources.flatMap(text => [...text.matchAll(IMPORT_PATTERN)].map(match => match[1] ?? "")))];
}

function readJson(file: string): unknown {
    return JSON.parse(readFileSync(join(ROOT, file), "utf8"));
}
