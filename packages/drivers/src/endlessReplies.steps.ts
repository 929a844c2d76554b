import { ServeError } from "@fulmarcleat/errors";
import { listen } from "@fulmarcleat/http";
import { brandId } from "@fulmarcleat/ids";
import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { createEtcdKv } from "./createEtcdKv.js";
import { createHttpEngine } from "./createHttpEngine.js";
import { createHttpHostList } from "./createHttpHostList.js";
import { createHttpService } from "./createHttpService.js";
import { createHttpWeightStore } from "./createHttpWeightStore.js";
import type { EngineRequest } from "./engineDriver.js";

const FLOOD_BYTES = 65_536;
const TIMEOUT_MS = 2000;
/** What a body without end begins with, and what it then consists of. */
const BODIES: Readonly<Record<string, { readonly start: string; readonly piece: Buffer }>> = {
    "bytes": { start: "", piece: Buffer.alloc(FLOOD_BYTES, "[") },
    "a line": { start: "data: ", piece: Buffer.alloc(FLOOD_BYTES, "a") },
    "an event": { start: "id: 1\n", piece: Buffer.from("data: more of it\n".repeat(FLOOD_BYTES / 16)) },
};

let server: Server | undefined;
let url = "";
let writtenBytes = 0;
let openSockets = 0;
let code = "";

Given(
    /^a server that answers (\d+) with (bytes|a line|an event) without end$/,
    async (status: string, body: string) => {
        const { start, piece } = BODIES[body] ?? { start: "", piece: Buffer.alloc(1) };
        writtenBytes = 0;
        openSockets = 0;
        server = createServer((req, res) => {
            const write = (): void => {
                while (!res.destroyed && res.write(piece)) {
                    // Writes until the buffer is full.
                }
            };
            openSockets += 1;
            req.socket.on("close", () => {
                writtenBytes += req.socket.bytesWritten;
                openSockets -= 1;
            });
            req.resume();
            req.on("end", () => {
                res.on("drain", write);
                res.writeHead(Number(status), { "Content-Type": "text/event-stream" }).write(start);
                write();
            });
        });
        url = `http://127.0.0.1:${await listen(server, { host: "127.0.0.1", port: 0 })}`;
    },
);

When(/^(an? .*) is sent to it$/, async (name: string) => {
    code = await send(name).then(
        () => "answered",
        (err: unknown) => err instanceof ServeError ? err.code : String(err),
    );
});

Then("the call fails as {string}", (expected: string) => strictEqual(code, expected));

Then("the server has written at most {int} MB", async (mb: number) => {
    while (openSockets > 0) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    ok(writtenBytes <= mb * 1_048_576, `${writtenBytes} bytes`);
});

After(() => {
    server?.closeAllConnections();
    server?.close();
    server = undefined;
});

async function send(name: string): Promise<unknown> {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    switch (name) {
        case "a service call": {
            const service = createHttpService({ url, connectTimeoutMs: TIMEOUT_MS });
            const call = {
                method: "GET",
                path: "/",
                headers: {},
                body: new Uint8Array(),
                freshConnection: false,
                signal,
            };
            return service.call(call).finally(() => service.close());
        }
        case "a host list":
            return createHttpHostList({ url, timeoutMs: TIMEOUT_MS }).list();
        case "a description":
            return createHttpWeightStore({ url, timeoutMs: TIMEOUT_MS }).describe("weights");
        case "a read of a key":
            return createEtcdKv({ url, timeoutMs: TIMEOUT_MS }).get("key");
        case "a watch":
            return createEtcdKv({ url, timeoutMs: TIMEOUT_MS }).watch("key", 1, signal)[Symbol.asyncIterator]().next();
        default:
            return callEngine(name, signal);
    }
}

async function callEngine(name: string, signal: AbortSignal): Promise<unknown> {
    const engine = createHttpEngine({ url, connectTimeoutMs: TIMEOUT_MS, silenceMs: TIMEOUT_MS });
    try {
        switch (name) {
            case "an order":
                return await engine.unload(brandId("a1"), 1, signal);
            case "a report":
                return await engine.report(signal);
            default: {
                const result = await engine.openStream(
                    {
                        input: { kind: "completion", prompt: "p" },
                        sampling: {},
                        freshConnection: false,
                        signal,
                    } as unknown as EngineRequest,
                );
                if (result.kind === "accepted") {
                    for await (const token of result.tokens) {
                        ok(token === undefined, "a token has arrived");
                    }
                }
                return result;
            }
        }
    }
    finally {
        await engine.close();
    }
}
