const CHECK_MS = 20;
const LIMIT_MS = 30_000;

/** Waits for a condition, with a generous limit. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
    const untilMs = performance.now() + LIMIT_MS;
    while (!isMet()) {
        if (performance.now() > untilMs) {
            throw new Error("the condition was not met");
        }
        await new Promise(resolve => setTimeout(resolve, CHECK_MS));
    }
}
