/** One request of the demo. */
export interface DemoRequest {
    readonly url: string;
    readonly method: "GET" | "POST";
    readonly key: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON; a text is sent as it is. */
    readonly body?: unknown;
}

/** What came back. */
export interface DemoAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
    readonly tookMs: number;
}

/**
 * Sends one request as a caller or an operator would.
 *
 * @param ask - The request
 * @returns the answer
 *
 * @example
 * const { status } = await callDemo({ url, method: "GET", key: "managers-key" });
 */
export async function callDemo(ask: DemoRequest): Promise<DemoAnswer> {
    const startMs = performance.now();
    const res = await fetch(ask.url, {
        method: ask.method,
        headers: { authorization: `Bearer ${ask.key}`, "content-type": "application/json", ...ask.headers },
        ...(ask.body === undefined ? {} : { body: writeBody(ask.body) }),
    });
    const text = await res.text();
    return { status: res.status, headers: res.headers, text, tookMs: Math.round(performance.now() - startMs) };
}

function writeBody(body: unknown): string {
    return typeof body === "string" ? body : JSON.stringify(body);
}
