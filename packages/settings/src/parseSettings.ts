import { ServeError } from "@fulmarcleat/errors";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { z } from "zod";

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
    const lines = result.error.issues.map(issue => describeIssue(issue, tree, text, options));
    throw createError(lines.join("\n"), options);
}

function describeIssue(issue: z.core.$ZodIssue, tree: Node, text: string, options: ParseSettingsOptions): string {
    const path = issue.path.filter(part => typeof part !== "symbol");
    const key = path.length === 0 ? "(top level)" : path.join(".");
    const line = countLine(text, findNearest(tree, path).offset);
    return `${options.file}:${line}: ${key}: ${issue.message}`;
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
