import type { ClientAccount, Route } from "@fulmarcleat/directory";

/**
 * Chooses the priority of a request: its account's, which may be more or less urgent than the route's, or the route's
 * if the account has none.
 *
 * @param account - Account of the request; undefined without one
 * @param route - Route of the request
 * @returns the priority; 0 is the most urgent
 *
 * @example
 * choosePriority({ priority: 0 }, { priority: 2 }); // 0
 */
export function choosePriority(
    account: Pick<ClientAccount, "priority"> | undefined,
    route: Pick<Route, "priority">,
): number {
    return account?.priority ?? route.priority;
}
