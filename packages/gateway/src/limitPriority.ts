import type { Priority } from "@fulmarcleat/resources";

const RANK: Readonly<Record<Priority, number>> = { urgent: 0, normal: 1, bulk: 2 };

/**
 * Gives the priority class of a request: what it asks for, but never more than was offered.
 *
 * @param offered - Class of the operator's offer
 * @param asked - Class that the request asks for
 * @returns the less urgent of the two
 *
 * @example
 * limitPriority("normal", "urgent"); // "normal"
 */
export function limitPriority(offered: Priority, asked: Priority | undefined): Priority {
    return asked !== undefined && RANK[asked] > RANK[offered] ? asked : offered;
}
