import { createMetrics } from "@fulmarcleat/events";
import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId, createManualClock, createRandom, createSystemClock } from "@fulmarcleat/ids";
import type { AccountName, HostId } from "@fulmarcleat/ids";
import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createPeerClient, createPeerServer } from "@fulmarcleat/wire";
import type { PeerClient, PeerServer } from "@fulmarcleat/wire";
import type { AccountPermit } from "./accountPermit.js";
import { createAccountLimits } from "./createAccountLimits.js";
import type { AccountLimits } from "./createAccountLimits.js";

const LOCAL = "127.0.0.1";
const PEER_KEY = "k".repeat(32);
const SILENCE_MS = 5000;
const START_MS = 1000;
const HOSTS = ["host-1", "host-2"].map(host => brandId<HostId>(host));
const BOUNDS = { limitWindowMs: 8000, limitExcessRatio: 0, limitSlack: 0 } as const;

let servers: PeerServer[] = [];
let clients: PeerClient[] = [];
let limits: AccountLimits[] = [];
let account = { name: brandId<AccountName>("a"), keys: [], priority: undefined, limit: undefined as never };
let permits: readonly AccountPermit[] = [];
let confirmReturn: () => void = () => undefined;

Given(
    "two hosts that are connected, and an account of {int} requests a second with a burst of {int}",
    async (perSecond: number, burst: number) => {
        const hash = await createHasher();
        account = { ...account, limit: { unit: "requests", perSecond, burst, requestTokens: 0 } as never };
        const members = new Map<HostId, unknown>();
        const view = { members, config: { accounts: new Map([[account.name, account]]) } } as never;
        [servers, clients, limits] = [[], [], []];
        // The granter comes first.
        for (const host of rankByRendezvous(hash, account.name, HOSTS)) {
            const clock = createSystemClock();
            const metrics = createMetrics();
            const shared = { host, peerKey: PEER_KEY, clock, metrics, silenceMs: SILENCE_MS };
            const client = createPeerClient({ ...shared, heartbeatMs: undefined });
            // Time-outs never fire, so that a busy machine changes nothing.
            const context = {
                clock: createManualClock(START_MS),
                hash,
                metrics,
                random: createRandom(1),
                readBounds: () => BOUNDS,
            };
            const own = createAccountLimits(
                { ...context, deployment: { host, isFirstStart: true } } as never,
                view,
                () => client,
            );
            const server = await createPeerServer({
                ...shared,
                listen: { host: LOCAL, port: 0 },
                handlers: {
                    accountGrant: (request, from) => own.handleGrant(request, from),
                    accountReturn(returned) {
                        const reply = own.handleReturn(returned);
                        confirmReturn();
                        return Promise.resolve(reply);
                    },
                },
            });
            members.set(host, { host, ip: LOCAL, port: server.port, isLeaving: false });
            servers.push(server);
            clients.push(client);
            limits.push(own);
        }
    },
);

After(async () => {
    limits.forEach(each => each.stop());
    clients.forEach(client => client.close());
    await Promise.all(servers.map(server => server.close()));
    [servers, clients, limits] = [[], [], []];
});

async function ask(count: number): Promise<readonly AccountPermit[]> {
    const asking = limits[1];
    return Promise.all(
        Array.from({ length: count }, async () => await asking?.admit(account, undefined) ?? { kind: "unlimited" }),
    );
}

When("the host that is not the granter asks for {int} requests", async (count: number) => {
    permits = await ask(count);
});

Then("{int} of them are granted by the granter, and the others are told to return later", (count: number) => {
    strictEqual(permits.filter(({ kind }) => kind === "granted").length, count);
    const refused = permits.filter(permit => permit.kind === "refused");
    strictEqual(refused.length, permits.length - count);
    ok(refused.every(({ basis, readyInMs }) => basis.decidedBy === "granter" && readyInMs > 0));
});

Then("after one is given back, {int} more is granted", async (count: number) => {
    const granted = permits.find(permit => permit.kind === "granted");
    const returned = new Promise<void>(resolve => (confirmReturn = resolve));
    granted?.giveBack();
    await returned;
    // The host of the granter itself is not held back by the refusal.
    const own = await Promise.all([0, 1].map(() => limits[0]?.admit(account, undefined)));
    strictEqual(own.filter(permit => permit?.kind === "granted").length, count);
});
