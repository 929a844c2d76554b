import { randomUUID } from "node:crypto";
import type { Branded } from "./brandId.js";

/**
 * Creates an id that no other process creates.
 *
 * @returns a random id
 *
 * @example
 * const requestId = createId<RequestId>();
 */
export function createId<Id extends Branded<string>>(): Id {
    return randomUUID() as unknown as Id;
}
