import { ServeError } from "@fulmarcleat/errors";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { z } from "zod";
import { describeSettings } from "./describeSettings.js";
import type { SettingDescription } from "./describeSettings.js";

/** Where settings come from, for messages. */
export interface ParseSettingsOptions {
    /** Name of the file. */
    readonly file: string;
}

/**
 * Parses JSON with comments and checks it against a schema.
 *
 * @param schema - What is allowed
 * @param text - The file's text
 * @param options - Name of the file
 * @returns the checked settings
 * @throws ServeError `settings_invalid`, naming file, line, key and what is allowed
 *
 * @example
 * const cfg = parseSettings(gatewaySchema, text, { file: "gateway.jsonc" });
 */
export function parseSettings<T>(schema: z.ZodType<T>, text: string, options: ParseSettingsOptions): T {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    const first = errors[0];
    if (first !== undefined || tree === undefined) {
        const line = countLine(text, first?.offset ?? 0);
        const reason = first === undefined ? "the file is empty" : printParseErrorCode(first.error);
        throw createError(`${options.file}:${line}: not JSON with comments: ${reason}`, options);
    }
    const result = schema.safeParse(getNodeValue(tree));
    if (result.success) {
        return result.data;
    }
    const described = describeSettings(schema);
    const lines = result.error.issues.flatMap(issue => describeIssue(issue, { tree, text, described, ...options }));
    throw createError(lines.join("\n"), options);
}

interface IssueContext extends ParseSettingsOptions {
    readonly tree: Node;
    readonly text: string;
    readonly described: readonly SettingDescription[];
}

function describeIssue(issue: z.core.$ZodIssue, context: IssueContext): readonly string[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        const allowed = listAllowed(path, context);
        return issue.keys.map(name => formatIssue([...path, name], `is not a setting; ${allowed}`, context));
    }
    const isMissing = path.length > 0 && findNodeAtLocation(context.tree, path) === undefined;
    const entry = context.described.find(candidate => candidate.key === path.join("."));
    const allowed = entry === undefined ? listAllowed(path, context) : `allowed: ${entry.allowed}`;
    return [formatIssue(path, `${isMissing ? "is required" : issue.message}; ${allowed}`, context)];
}

function listAllowed(path: readonly (string | number)[], { described }: IssueContext): string {
    const prefix = path.length === 0 ? "" : `${path.join(".")}.`;
    const inside = described.filter(entry => entry.key.startsWith(prefix)).map(entry => entry.key);
    const names = path.length === 0 ? inside.map(key => key.split(".")[0] ?? "") : inside;
    return `allowed here: ${[...new Set(names)].join(", ")}`;
}

function formatIssue(path: readonly (string | number)[], message: string, context: IssueContext): string {
    const key = path.length === 0 ? "(top level)" : path.join(".");
    return `${context.file}:${countLine(context.text, findNearest(context.tree, path).offset)}: ${key}: ${message}`;
}

function findNearest(tree: Node, path: readonly (string | number)[]): Node {
    for (let length = path.length; length > 0; length -= 1) {
        const node = findNodeAtLocation(tree, path.slice(0, length));
        if (node !== undefined) {
            return node;
        }
    }
    return tree;
}

function countLine(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}

function createError(message: string, options: ParseSettingsOptions): ServeError {
    return new ServeError(message, {
        code: "settings_invalid",
        step: "read settings",
        peer: options.file,
        outcome: "not_run",
    });
}
