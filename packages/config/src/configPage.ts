import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import { z } from "zod";

/** The stored resources whose names hash to one page. */
export interface ConfigPage {
    /** Sequence number up to which the page includes every change that belongs to it. */
    readonly appliedSeq: number;
    readonly resources: readonly Resource[];
}

/** A page that was never written. */
export const EMPTY_PAGE: ConfigPage = { appliedSeq: 0, resources: [] };

const pageSchema = z.object({ appliedSeq: z.int(), resources: z.array(resourceSchema) });

/**
 * Formats the key of a page in the key-value service.
 *
 * @param number - Page number, as `choosePage` returns it
 * @returns the key in the key-value service
 *
 * @example
 * formatPageKey(7); // "config/page/7"
 */
export function formatPageKey(number: number): string {
    return `config/page/${number}`;
}

/**
 * Parses a page from its stored JSON.
 *
 * @param text - JSON text from the key-value service
 * @returns the page
 * @throws ZodError or SyntaxError if the value is not a valid page
 *
 * @example
 * const page = parseConfigPage(entry.value);
 */
export function parseConfigPage(text: string): ConfigPage {
    return pageSchema.parse(JSON.parse(text));
}
