/** A request that a gateway refuses, and the expected error code. */
export interface DemoRefusal {
    readonly title: string;
    readonly code: string;
    readonly key?: string;
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
}

const LOOKUP = { model: "lookup-linz@3", prompt: "Visitors today?", max_tokens: 4 };

const REFUSALS: readonly DemoRefusal[] = [
    { title: "malformed JSON", code: "bad_request", body: '{"model":' },
    { title: "an unknown key", code: "unauthenticated", key: "nobody" },
    { title: "an adapter that does not exist", code: "unknown_adapter", body: { ...LOOKUP, model: "nothing@1" } },
    { title: "a version that does not exist", code: "unknown_adapter", body: { ...LOOKUP, model: "lookup-linz@99" } },
    {
        title: "an adapter that is not offered to the caller",
        code: "not_offered",
        body: { ...LOOKUP, model: "report-ostalpen@2" },
    },
    { title: "a deadline that is not a number", code: "bad_request", headers: { "fulmarcleat-deadline-ms": "soon" } },
    {
        title: "a non-repeatable request without an idempotency key",
        code: "key_required",
        headers: { "fulmarcleat-repeatable": "false" },
    },
    { title: "an oversized body", code: "body_too_large", body: { ...LOOKUP, prompt: "x".repeat(5_000_000) } },
    { title: "a compressed body", code: "unsupported_encoding", headers: { "content-encoding": "gzip" } },
    { title: "an unknown path", code: "not_found", path: "/v1/embeddings" },
];

/** One request for each error code that a gateway returns before it calls an engine. */
export const DEMO_REFUSALS: readonly DemoRefusal[] = REFUSALS.map(refusal => ({ body: LOOKUP, ...refusal }));
