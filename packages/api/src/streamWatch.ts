import type { ConfigTask } from "@fulmarcleat/config";
import type { Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { ConfigChange, Resource, ResourceKind, ResourceRef } from "@fulmarcleat/resources";
import type { ServerResponse } from "node:http";

/** One line of a watch's response. */
export type WatchLine =
    | { readonly type: "ADDED" | "MODIFIED"; readonly resourceVersion: number; readonly object: Resource }
    | { readonly type: "DELETED"; readonly resourceVersion: number; readonly ref: ResourceRef }
    /** All changes up to this one were sent. It comes at a fixed interval, which shows that the connection works. */
    | { readonly type: "BOOKMARK"; readonly resourceVersion: number }
    | { readonly type: "ERROR"; readonly code: "too_old"; readonly message: string };

/** Dependencies and starting point of a watch. */
export interface StreamWatchOptions {
    readonly config: ConfigTask;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Kind whose changes are sent; undefined for all kinds. */
    readonly kind: ResourceKind | undefined;
    /** Sequence number of the last change that the client knows. */
    readonly after: number;
    /** Interval between two bookmarks, in milliseconds. */
    readonly bookmarkMs: number;
    /** Ends the watch when the process stops. */
    readonly stopping: AbortSignal;
}

/** Bytes buffered for a slow client above which its watch is ended. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Streams changes in order and exactly once, as newline-delimited JSON, until the client or the process ends the watch.
 *
 * @param res - Response to write the changes to
 * @param options - Configuration to watch, the kind and the starting point
 * @returns nothing; the watch continues in the background
 *
 * @example
 * streamWatch(res, { config, clock, metrics, kind: "Offer", after: 41, bookmarkMs: 5000, stopping });
 */
export function streamWatch(res: ServerResponse, options: StreamWatchOptions): void {
    const { config, clock } = options;
    let sentSeq = options.after;
    let cancelBookmark: CancelTimer = () => undefined;
    const write = (line: WatchLine): void => {
        res.write(`${JSON.stringify(line)}\n`);
    };
    const end = (message: string | undefined): void => {
        cancelBookmark();
        unsubscribe();
        options.stopping.removeEventListener("abort", onStop);
        if (res.writableEnded || res.destroyed) {
            return;
        }
        if (message !== undefined) {
            options.metrics.count("watch_ends_total", { reason: "too_old" });
            write({ type: "ERROR", code: "too_old", message });
        }
        res.end();
    };
    const sendChanges = (): void => {
        const oldestKeptSeq = config.recent[0]?.seq ?? config.snapshot.seq + 1;
        if (sentSeq + 1 < oldestKeptSeq && sentSeq < config.snapshot.seq) {
            end("the changes after this resourceVersion are no longer kept; list again");
            return;
        }
        if (res.writableLength > MAX_BUFFERED_BYTES) {
            end("the client reads too slowly; list again");
            return;
        }
        for (const change of config.recent) {
            if (change.seq > sentSeq) {
                sentSeq = change.seq;
                if (options.kind === undefined || readKind(change) === options.kind) {
                    write(toLine(change));
                }
            }
        }
    };
    const bookmark = (): void => {
        write({ type: "BOOKMARK", resourceVersion: sentSeq });
        cancelBookmark = clock.setTimer(options.bookmarkMs, bookmark);
    };
    const onStop = (): void => {
        write({ type: "BOOKMARK", resourceVersion: sentSeq });
        end(undefined);
    };
    res.writeHead(200, { "content-type": "application/x-ndjson", "cache-control": "no-store" });
    const unsubscribe = config.subscribe(sendChanges);
    options.stopping.addEventListener("abort", onStop);
    res.on("close", () => end(undefined));
    sendChanges();
    if (!res.writableEnded) {
        bookmark();
    }
}

function readKind(change: ConfigChange): ResourceKind {
    return change.op.kind === "put" ? change.op.resource.kind : change.op.ref.kind;
}

function toLine(change: ConfigChange): WatchLine {
    if (change.op.kind === "delete") {
        return { type: "DELETED", resourceVersion: change.seq, ref: change.op.ref };
    }
    const type = change.op.resource.metadata.generation > 1 ? "MODIFIED" : "ADDED";
    return { type, resourceVersion: change.seq, object: change.op.resource };
}
