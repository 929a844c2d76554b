/** A request to a plain HTTP service. */
export interface ServiceCall {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Whether to open a new connection, for requests that must not be sent twice. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}

/** Complete response of a plain HTTP service. */
export interface ServiceAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Driver of one plain HTTP service. Calls throw ServeError: outcome `not_run` if nothing was sent, else `unknown`. */
export interface ServiceDriver {
    call(call: ServiceCall): Promise<ServiceAnswer>;
    close(): Promise<void>;
}
