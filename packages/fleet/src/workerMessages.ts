/** What a gateway's thread is told. */
export type ToWorker =
    /** Blocks the thread for a while. */
    | { readonly kind: "pause"; readonly ms: number }
    | { readonly kind: "stop" }
    | { readonly kind: "awaitConfig"; readonly seq: number };

/** What a gateway's thread says. */
export type ToHost =
    | { readonly kind: "started"; readonly url: string; readonly peerPort: number }
    | { readonly kind: "ready" }
    | { readonly kind: "resumed" }
    | { readonly kind: "stopped" }
    | { readonly kind: "configReached"; readonly seq: number };
