import type { KeyFeed } from "@fulmarcleat/directory";
import { toServeError } from "@fulmarcleat/errors";
import type { FrontContext } from "./frontContext.js";

/**
 * Creates a call that brings what this host knows of a prefix up to date: the store answers it as of a time after the
 * call. Callers that come while one is under way share the next one.
 *
 * @param context - Store, clock, log and metrics
 * @param prefix - Prefix of the keys
 * @param feed - Takes what has changed
 * @returns the call; resolves to whether the store has answered
 *
 * @example
 * const confirm = createViewConfirmation(context, ENGINE_PREFIX, feeds.engines);
 * const isUpToDate = await confirm();
 */
export function createViewConfirmation(
    { clock, log, metrics, store }: Pick<FrontContext, "clock" | "log" | "metrics" | "store">,
    prefix: string,
    feed: KeyFeed,
): () => Promise<boolean> {
    let running: Promise<boolean> = Promise.resolve(true);
    let next: Promise<boolean> | undefined;
    const read = async (): Promise<boolean> => {
        next = undefined;
        const from = { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
        if (feed.revision === undefined) {
            return false;
        }
        try {
            const reply = await store.watch(prefix, feed.revision, 0);
            if (reply.kind === "compacted") {
                return false;
            }
            feed.takeEvents(reply.events, reply.revision, { atMs: clock.nowMs(), from });
            return true;
        }
        catch (err) {
            const { step, message } = toServeError(err, INTERNAL);
            metrics.count("store_failures_total", { step });
            log.write("warn", 603, { step, prefix, reason: message });
            return false;
        }
    };
    return () => {
        if (next === undefined) {
            next = running.then(read);
            running = next;
        }
        return next;
    };
}

const INTERNAL = { code: "internal", step: "confirm keys", peer: "self", outcome: "not_run" } as const;
