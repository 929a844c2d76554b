const CHECK_INTERVAL_MS = 20;
const LIMIT_MS = 30_000;

/**
 * Polls a condition until it holds.
 *
 * @param isMet - Condition to check
 * @throws Error if the condition does not hold within 30 seconds
 *
 * @example
 * await waitUntil(() => gateway.ownedEngines.length > 0);
 */
export async function waitUntil(isMet: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + LIMIT_MS;
    while (!isMet()) {
        if (performance.now() > deadlineMs) {
            throw new Error("the condition was not met within 30 seconds");
        }
        await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
}
