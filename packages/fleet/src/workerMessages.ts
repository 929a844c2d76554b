/** Message from the parent to the worker thread of a gateway. */
export type MessageToWorker =
    /** Blocks the thread for `ms` milliseconds. */
    | { readonly kind: "pause"; readonly ms: number }
    | { readonly kind: "stop" }
    /** Requests a "configReached" message once the configuration contains change `seq`. */
    | { readonly kind: "awaitConfig"; readonly seq: number };

/** Message from the worker thread of a gateway to its parent. */
export type MessageFromWorker =
    | { readonly kind: "started"; readonly url: string; readonly peerPort: number }
    | { readonly kind: "ready" }
    | { readonly kind: "resumed" }
    | { readonly kind: "stopped" }
    | { readonly kind: "configReached"; readonly seq: number };
