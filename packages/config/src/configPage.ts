import { resourceSchema } from "@fulmarcleat/resources";
import type { Resource } from "@fulmarcleat/resources";
import { z } from "zod";

/** The resources whose names hash to one page. */
export interface ConfigPage {
    /** Last change that was considered; none after it is in the page. */
    readonly appliedSeq: number;
    readonly resources: readonly Resource[];
}

/** A page to which nothing was written yet. */
export const EMPTY_PAGE: ConfigPage = { appliedSeq: 0, resources: [] };

const pageSchema = z.object({ appliedSeq: z.int(), resources: z.array(resourceSchema) });

/**
 * Gives a page's key in the key-value service.
 *
 * @param number - Number of the page
 * @returns the key
 *
 * @example
 * formatPageKey(7); // "config/page/7"
 */
export function formatPageKey(number: number): string {
    return `config/page/${number}`;
}

/**
 * Parses a page as read from the key-value service.
 *
 * @param text - The key's value
 * @returns the page
 * @throws Error where the value is no page
 *
 * @example
 * const page = parseConfigPage(entry.value);
 */
export function parseConfigPage(text: string): ConfigPage {
    return pageSchema.parse(JSON.parse(text));
}
