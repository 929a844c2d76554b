import { ServeError } from "@fulmarcleat/errors";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { z } from "zod";
import { describeSettings } from "./describeSettings.js";
import type { SettingDescription } from "./describeSettings.js";

/** Source of the settings, for error messages. */
export interface ParseSettingsOptions {
    /** Name of the settings file. */
    readonly file: string;
}

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @param schema - Schema of the settings
 * @param text - Content of the settings file
 * @param options - Name of the settings file
 * @returns the validated settings
 * @throws ServeError `settings_invalid`; the message has file, line, key and allowed values
 *
 * @example
 * const cfg = parseSettings(gatewaySchema, text, { file: "gateway.jsonc" });
 */
export function parseSettings<T>(schema: z.ZodType<T>, text: string, options: ParseSettingsOptions): T {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, { allowTrailingComma: true });
    const first = errors[0];
    if (first !== undefined || tree === undefined) {
        const line = getLineNumber(text, first?.offset ?? 0);
        const reason = first === undefined ? "the file is empty" : printParseErrorCode(first.error);
        throw createSettingsError(`${options.file}:${line}: not JSON with comments: ${reason}`, options);
    }
    const result = schema.safeParse(getNodeValue(tree));
    if (result.success) {
        return result.data;
    }
    const descriptions = describeSettings(schema);
    const lines = result.error.issues.flatMap(issue => describeIssue(issue, { tree, text, descriptions, ...options }));
    throw createSettingsError(lines.join("\n"), options);
}

interface IssueContext extends ParseSettingsOptions {
    readonly tree: Node;
    readonly text: string;
    readonly descriptions: readonly SettingDescription[];
}

function describeIssue(issue: z.core.$ZodIssue, context: IssueContext): readonly string[] {
    const path = issue.path.filter(part => typeof part !== "symbol");
    if (issue.code === "unrecognized_keys") {
        const allowed = formatAllowedKeys(path, context);
        return issue.keys.map(name => formatIssue([...path, name], `is not a setting; ${allowed}`, context));
    }
    const isMissing = path.length > 0 && findNodeAtLocation(context.tree, path) === undefined;
    const entry = context.descriptions.find(candidate => candidate.key === path.join("."));
    const allowed = entry === undefined ? formatAllowedKeys(path, context) : `allowed: ${entry.allowed}`;
    return [formatIssue(path, `${isMissing ? "is required" : issue.message}; ${allowed}`, context)];
}

function formatAllowedKeys(path: readonly (string | number)[], { descriptions }: IssueContext): string {
    const prefix = path.length === 0 ? "" : `${path.join(".")}.`;
    const inside = descriptions.filter(entry => entry.key.startsWith(prefix)).map(entry => entry.key);
    const names = path.length === 0 ? inside.map(key => key.split(".")[0] ?? "") : inside;
    return `allowed here: ${[...new Set(names)].join(", ")}`;
}

function formatIssue(path: readonly (string | number)[], message: string, context: IssueContext): string {
    const key = path.length === 0 ? "(top level)" : path.join(".");
    return `${context.file}:${
        getLineNumber(context.text, findNearestNode(context.tree, path).offset)
    }: ${key}: ${message}`;
}

function findNearestNode(tree: Node, path: readonly (string | number)[]): Node {
    for (let length = path.length; length > 0; length -= 1) {
        const node = findNodeAtLocation(tree, path.slice(0, length));
        if (node !== undefined) {
            return node;
        }
    }
    return tree;
}

function getLineNumber(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}

function createSettingsError(message: string, options: ParseSettingsOptions): ServeError {
    return new ServeError(message, {
        code: "settings_invalid",
        step: "read settings",
        peer: options.file,
        outcome: "not_run",
    });
}
