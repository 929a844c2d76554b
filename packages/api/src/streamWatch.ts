import type { ConfigTask } from "@fulmarcleat/config";
import type { Metrics } from "@fulmarcleat/events";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { ConfigChange, Resource, ResourceKind, ResourceRef } from "@fulmarcleat/resources";
import type { ServerResponse } from "node:http";

/** One line of a watch. */
export type WatchLine =
    | { readonly type: "ADDED" | "MODIFIED"; readonly resourceVersion: number; readonly object: Resource }
    | { readonly type: "DELETED"; readonly resourceVersion: number; readonly ref: ResourceRef }
    /** Nothing up to this change is still to come; sent at a steady pace, so that silence shows. */
    | { readonly type: "BOOKMARK"; readonly resourceVersion: number }
    | { readonly type: "ERROR"; readonly code: "too_old"; readonly message: string };

/** What a watch needs. */
export interface StreamWatchOptions {
    readonly config: ConfigTask;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Kind to show, or undefined for all. */
    readonly kind: ResourceKind | undefined;
    /** Last change that the watcher has. */
    readonly after: number;
    readonly bookmarkMs: number;
    /** Ends the watch when the process stops. */
    readonly stopping: AbortSignal;
}

const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Streams changes in order as newline-delimited JSON, each once.
 *
 * @param res - The response
 * @param options - Where from, and which
 * @returns nothing
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
    const forward = (): void => {
        const firstKept = config.recent[0]?.seq ?? config.snapshot.seq + 1;
        if (sentSeq + 1 < firstKept && sentSeq < config.snapshot.seq) {
            end("the changes after this resourceVersion are no longer kept; list again");
            return;
        }
        if (res.writableLength > MAX_BUFFERED_BYTES) {
            end("the watcher does not keep up; list again");
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
    const unsubscribe = config.subscribe(forward);
    options.stopping.addEventListener("abort", onStop);
    res.on("close", () => end(undefined));
    forward();
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
