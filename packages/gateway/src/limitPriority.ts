import type { Priority } from "@fulmarcleat/resources";

/** Rank per class; a lower rank is more urgent. */
const RANK: Readonly<Record<Priority, number>> = { urgent: 0, normal: 1, bulk: 2 };

/**
 * Returns the priority class of a request: the requested class, limited to the offered one.
 *
 * @param offered - Class of the operator's offer, which is also the default
 * @param requested - Class in the request's headers, if any
 * @returns the less urgent of the two
 *
 * @example
 * limitPriority("normal", "urgent"); // "normal"
 */
export function limitPriority(offered: Priority, requested: Priority | undefined): Priority {
    return requested !== undefined && RANK[requested] > RANK[offered] ? requested : offered;
}
