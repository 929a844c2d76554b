import { createMetrics } from "@fulmarcleat/events";
import { brandId, createSystemClock } from "@fulmarcleat/ids";
import type { HostId } from "@fulmarcleat/ids";
import { After, fc, Given, ok, rejects, strictEqual, Then, When } from "@fulmarcleat/testing";
import { readFileSync } from "node:fs";
import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import { computeMac } from "./computeMac.js";
import { createFrameReader } from "./createFrameReader.js";
import { createPeerClient } from "./createPeerClient.js";
import { createPeerServer } from "./createPeerServer.js";
import type { PeerServer } from "./createPeerServer.js";
import { encodeFrame } from "./encodeFrame.js";
import type { Frame } from "./frame.js";

const LOCAL = "127.0.0.1";
const SILENCE_MS = 5000;
const FUZZ_RUNS = 30;
const OVER_TLS = "over TLS";
const CLIENT = brandId<HostId>("entry-9");
const PEM = { cert: readPem("cert"), key: readPem("key") };

let server: PeerServer | undefined;
let result: "answered" | "refused" = "refused";
let welcomes: readonly boolean[] = [];

Given(
    /^the peer server listens as "(.*)" with the key "(.*)"(over TLS)?$/,
    async (host: string, key: string, tls?: string) => {
        server = await createPeerServer({
            host: brandId<HostId>(host),
            peerKey: padKey(key),
            listen: { host: LOCAL, port: 0 },
            tls: tls === OVER_TLS ? PEM : undefined,
            clock: createSystemClock(),
            metrics: createMetrics(),
            silenceMs: SILENCE_MS,
            handlers: { explain: () => Promise.resolve({ decisions: [] }) },
        });
    },
);

When(
    /^a client with the key "(.*)" that expects "(.*)" sends a request(over TLS)?$/,
    async (key: string, host: string, tls?: string) => {
        result = await sendRequest(key, host, tls === OVER_TLS ? PEM.cert : undefined);
    },
);

Then("the peer request is answered", () => strictEqual(result, "answered"));
Then("the peer request is refused", () => strictEqual(result, "refused"));

When("the proof of a peer client is recorded and sent again", async () => {
    const sent: Frame[] = [];
    const first = await connectWithProof(challenge => {
        const mac = computeMac(padKey("k"), ["client", challenge, "n1", CLIENT]);
        sent.push({ t: "proof", host: CLIENT, nonce: "n1", mac });
        return sent[0] as Frame;
    });
    const second = await connectWithProof(() => sent[0] as Frame);
    welcomes = [first, second];
});

Then("the peer server accepts the first connection and closes the second", () => {
    strictEqual(welcomes[0], true);
    strictEqual(welcomes[1], false);
});

Then("the peer server accepts any bytes and still replies", async () => {
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), bytes => sendBytes(Buffer.from(bytes))),
        { numRuns: FUZZ_RUNS },
    );
    strictEqual(await sendRequest("k", "entry-1", undefined), "answered");
});

After(async () => {
    await server?.close();
    server = undefined;
});

function readPem(name: string): string {
    return readFileSync(new URL(`../../../features/certificates/${name}.pem`, import.meta.url), "utf8");
}

Then(
    "a request to a port without a listener fails as not run because of {string}",
    async (code: string) => {
        const unused = createServer();
        await new Promise<void>(resolve => unused.listen(0, LOCAL, () => resolve()));
        const address = unused.address();
        const port = typeof address === "object" && address !== null ? address.port : 0;
        await new Promise(resolve => unused.close(resolve));
        const client = createPeerClient({
            host: CLIENT,
            peerKey: padKey("k"),
            clock: createSystemClock(),
            metrics: createMetrics(),
            heartbeatMs: undefined,
            silenceMs: SILENCE_MS,
        });
        const to = { host: brandId<HostId>("entry-1"), address: LOCAL, port };
        const request = client.request(to, "explain", { adapter: undefined, requestId: undefined }, SILENCE_MS);
        await rejects(
            request,
            (err: Error & { readonly outcome?: string; readonly cause?: { readonly code?: string } }) => {
                strictEqual(err.outcome, "not_run");
                strictEqual(err.cause?.code, code);
                return true;
            },
        );
        client.close();
    },
);

let connectionCount = 0;

Given(/^a client (with|without) heartbeats sends two requests to an unresponsive peer$/, async (how: string) => {
    connectionCount = 0;
    const unresponsive = createServer(socket => {
        connectionCount += 1;
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => unresponsive.listen(0, LOCAL, () => resolve()));
    const address = unresponsive.address();
    const port = typeof address === "object" && address !== null ? address.port : 0;
    const client = createPeerClient({
        host: CLIENT,
        peerKey: padKey("k"),
        clock: createSystemClock(),
        metrics: createMetrics(),
        heartbeatMs: how === "with" ? NEVER_MS : undefined,
        silenceMs: NEVER_MS,
    });
    const to = { host: brandId<HostId>("entry-1"), address: LOCAL, port };
    for (let sent = 0; sent < 2; sent += 1) {
        await rejects(client.request(to, "explain", { adapter: undefined, requestId: undefined }, REPLY_TIMEOUT_MS));
    }
    await setTimeout(REPLY_TIMEOUT_MS);
    client.close();
    unresponsive.close();
});

Then("the unresponsive peer received {int} connections", (count: number) => strictEqual(connectionCount, count));

/** Timeout of a request to the unresponsive peer, in milliseconds. */
const REPLY_TIMEOUT_MS = 100;
/** Longer than the whole scenario, so that it never expires, in milliseconds. */
const NEVER_MS = 60_000;

function padKey(key: string): string {
    return key.repeat(32);
}

function readPort(): number {
    ok(server !== undefined, "the peer server is not running");
    return server.port;
}

async function sendRequest(key: string, host: string, ca: string | undefined): Promise<"answered" | "refused"> {
    const client = createPeerClient({
        host: CLIENT,
        peerKey: padKey(key),
        ca,
        clock: createSystemClock(),
        metrics: createMetrics(),
        heartbeatMs: 1000,
        silenceMs: 1000,
    });
    try {
        const to = { host: brandId<HostId>(host), address: LOCAL, port: readPort() };
        await client.request(to, "explain", { adapter: undefined, requestId: undefined }, SILENCE_MS);
        return "answered";
    }
    catch (err) {
        ok(!String(err).includes(padKey(key)), "the error message contains the key");
        return "refused";
    }
    finally {
        client.close();
    }
}

/** Opens a connection, replies to the challenge and returns whether a welcome frame was received. */
function connectWithProof(prove: (challenge: string) => Frame): Promise<boolean> {
    return new Promise(resolve => {
        const reader = createFrameReader();
        const socket: Socket = connect(readPort(), LOCAL);
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(false));
        socket.on("data", chunk => {
            for (const frame of reader(chunk)) {
                if (frame.t === "challenge") {
                    socket.write(encodeFrame(prove(frame.nonce)));
                }
                if (frame.t === "welcome") {
                    resolve(true);
                    socket.destroy();
                }
            }
        });
    });
}

function sendBytes(bytes: Buffer): Promise<void> {
    return new Promise(resolve => {
        const socket = connect(readPort(), LOCAL, () => socket.end(bytes));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve());
        socket.resume();
    });
}
