import { z } from "zod";
import type { ClaimPage } from "./claimPage.js";

const pageSchema = z.object({
    entries: z.record(
        z.string(),
        z.object({
            requestHash: z.string(),
            nonce: z.string(),
            atMs: z.number(),
            state: z.enum(["open", "ran", "unknown"]),
        }),
    ),
    writes: z.array(z.string()),
});

/**
 * Parses a partition's page from its stored JSON.
 *
 * @param value - JSON text from the key-value service
 * @returns the page
 * @throws ZodError or SyntaxError if the value is not a valid page
 *
 * @example
 * const page = parseClaimPage(entry.value);
 */
export function parseClaimPage(value: string): ClaimPage {
    return pageSchema.parse(JSON.parse(value));
}
