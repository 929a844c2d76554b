/** A call to a plain service. */
export interface ServiceCall {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Opens a new connection; for calls that may not be repeated. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}

/** A plain service's whole answer. */
export interface ServiceAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** One plain service. Calls throw ServeError with outcome `not_run` where nothing was sent, else `unknown`. */
export interface ServiceDriver {
    call(call: ServiceCall): Promise<ServiceAnswer>;
    close(): Promise<void>;
}
