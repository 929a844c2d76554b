/** A request of the demo. */
export interface DemoRequest {
    readonly url: string;
    readonly method: "GET" | "POST";
    readonly key: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON; a string is sent unchanged. */
    readonly body?: unknown;
}

/** Response to a demo request, with the time until it was complete. */
export interface DemoAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
    readonly tookMs: number;
}

/**
 * Sends a request as a caller or an operator does.
 *
 * @param request - URL, method, bearer key, headers and body
 * @returns the response, after its whole body was received
 *
 * @example
 * const { status } = await sendDemoRequest({ url, method: "GET", key: "managers-key" });
 */
export async function sendDemoRequest(request: DemoRequest): Promise<DemoAnswer> {
    const startMs = performance.now();
    const res = await fetch(request.url, {
        method: request.method,
        headers: { authorization: `Bearer ${request.key}`, "content-type": "application/json", ...request.headers },
        ...(request.body === undefined ? {} : { body: formatBody(request.body) }),
    });
    const text = await res.text();
    return { status: res.status, headers: res.headers, text, tookMs: Math.round(performance.now() - startMs) };
}

function formatBody(body: unknown): string {
    return typeof body === "string" ? body : JSON.stringify(body);
}
