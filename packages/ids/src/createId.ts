import { randomUUID } from "node:crypto";
import type { Branded } from "./brandId.js";

/**
 * Creates a globally unique id.
 *
 * @returns a random UUID
 *
 * @example
 * const requestId = createId<RequestId>();
 */
export function createId<Id extends Branded<string>>(): Id {
    return randomUUID() as unknown as Id;
}
