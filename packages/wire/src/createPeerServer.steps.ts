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
const BY_TLS = "over TLS";
const CLIENT = brandId<HostId>("entry-9");
const PEM = { cert: readPem("cert"), key: readPem("key") };

let server: PeerServer | undefined;
let result: "answered" | "refused" = "refused";
let replays: readonly boolean[] = [];

Given(
    /^peerserver listens as "(.*)" with the key "(.*)"(over TLS)?$/,
    async (host: string, key: string, tls?: string) => {
        server = await createPeerServer({
            host: brandId<HostId>(host),
            peerKey: padKey(key),
            listen: { host: LOCAL, port: 0 },
            tls: tls === BY_TLS ? PEM : undefined,
            clock: createSystemClock(),
            metrics: createMetrics(),
            silenceMs: SILENCE_MS,
            handlers: { explain: () => Promise.resolve({ decisions: [] }) },
        });
    },
);

When(
    /^peerserver is asked by a client with key "(.*)" that looks for "(.*)"(over TLS)?$/,
    async (key: string, host: string, tls?: string) => {
        result = await ask(key, host, tls === BY_TLS ? PEM.cert : undefined);
    },
);

Then("peerserver ask is answered", () => strictEqual(result, "answered"));
Then("peerserver ask is refused", () => strictEqual(result, "refused"));

When("peerserver client's proof is recorded and sent again", async () => {
    const sent: Frame[] = [];
    const first = await openProven(challenge => {
        const mac = computeMac(padKey("k"), ["client", challenge, "n1", CLIENT]);
        sent.push({ t: "proof", host: CLIENT, nonce: "n1", mac });
        return sent[0] as Frame;
    });
    const second = await openProven(() => sent[0] as Frame);
    replays = [first, second];
});

Then("peerserver answers the first and closes the second", () => {
    strictEqual(replays[0], true);
    strictEqual(replays[1], false);
});

Then("peerserver survives any bytes and still answers", async () => {
    await fc.assert(
        fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), bytes => sendBytes(Buffer.from(bytes))),
        { numRuns: FUZZ_RUNS },
    );
    strictEqual(await ask("k", "entry-1", undefined), "answered");
});

After(async () => {
    await server?.close();
    server = undefined;
});

function readPem(name: string): string {
    return readFileSync(new URL(`../../../features/certificates/${name}.pem`, import.meta.url), "utf8");
}

let silentConnections = 0;

Given(/^a silent peer is asked twice by a client (with|without) heartbeats$/, async (how: string) => {
    silentConnections = 0;
    const silent = createServer(socket => {
        silentConnections += 1;
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => silent.listen(0, LOCAL, () => resolve()));
    const address = silent.address();
    const port = typeof address === "object" && address !== null ? address.port : 0;
    const client = createPeerClient({
        host: CLIENT,
        peerKey: padKey("k"),
        clock: createSystemClock(),
        metrics: createMetrics(),
        heartbeatMs: how === "with" ? LONG_MS : undefined,
        silenceMs: LONG_MS,
    });
    const to = { host: brandId<HostId>("entry-1"), address: LOCAL, port };
    for (let asked = 0; asked < 2; asked += 1) {
        await rejects(client.ask(to, "explain", { adapter: undefined, requestId: undefined }, SHORT_MS));
    }
    await setTimeout(SHORT_MS);
    client.close();
    silent.close();
});

Then("the silent peer saw {int} connections", (count: number) => strictEqual(silentConnections, count));

/** Longest wait for the silent peer's reply, in milliseconds. */
const SHORT_MS = 100;
/** Longer than the whole scenario, in milliseconds. */
const LONG_MS = 60_000;

function padKey(key: string): string {
    return key.repeat(32);
}

function readPort(): number {
    ok(server !== undefined, "no server listens");
    return server.port;
}

async function ask(key: string, host: string, ca: string | undefined): Promise<"answered" | "refused"> {
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
        await client.ask(to, "explain", { adapter: undefined, requestId: undefined }, SILENCE_MS);
        return "answered";
    }
    catch (err) {
        ok(!String(err).includes(padKey(key)), "the error holds the key");
        return "refused";
    }
    finally {
        client.close();
    }
}

/** Opens a connection, answers the challenge and tells whether a welcome came. */
function openProven(prove: (challenge: string) => Frame): Promise<boolean> {
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
