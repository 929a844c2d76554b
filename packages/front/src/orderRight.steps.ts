import { ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { FleetOrder, OwnerFleet } from "./createOwnerFleet.steps.js";
import { PEER_SECRET_KEY } from "./hostKeys.js";
import { readOwnerFleet } from "./startOwnership.steps.js";

/** Delay of orders that arrive after their sender has given up waiting, in milliseconds. */
const LATE_ORDER_MS = 240;
/** Rate of a slow clock; oscillators of hosts differ by far less. */
const SLOW_RATE = 0.995;
/** Time without any accepted order from which engines count as not ordered, in milliseconds. */
const ORDER_GAP_MS = 500;

let beganMs = 0;

/** Picks the owner that has sent the last accepted order, as its orders are most likely to meet another's. */
function pickOwner(fleet: OwnerFleet): string {
    const last = fleet.orders.findLast(order => order.reply === "accepted");
    return last?.host ?? "";
}

When("an owner is cut off from the store for {int} ms", async (ms: number) => {
    const fleet = readOwnerFleet();
    fleet.faults.cutFromStore([pickOwner(fleet)]);
    await fleet.advance(ms);
    fleet.faults.cutFromStore([]);
    await fleet.advance(RETURN_MS);
});

When("an owner is cut off from the store and from other hosts for {int} ms", async (ms: number) => {
    const fleet = readOwnerFleet();
    const hosts = [pickOwner(fleet)];
    fleet.faults.cutFromStore(hosts);
    fleet.cutFromPeers(hosts);
    await fleet.advance(ms);
    fleet.faults.cutFromStore([]);
    fleet.cutFromPeers([]);
    await fleet.advance(RETURN_MS);
});

When("an owner is cut off from the store for {int} ms, which drops its keys", async (ms: number) => {
    const fleet = readOwnerFleet();
    const host = pickOwner(fleet);
    fleet.faults.cutFromStore([host]);
    fleet.revokeKeys(host);
    await fleet.advance(ms);
    fleet.faults.cutFromStore([]);
    await fleet.advance(RETURN_MS);
});

When("an owner is cut off from all for {int} ms, and the store drops its keys", async (ms: number) => {
    const fleet = readOwnerFleet();
    const host = pickOwner(fleet);
    fleet.faults.cutFromStore([host]);
    fleet.cutFromPeers([host]);
    fleet.revokeKeys(host);
    await fleet.advance(ms);
    fleet.faults.cutFromStore([]);
    fleet.cutFromPeers([]);
    await fleet.advance(RETURN_MS);
});

When("an owner is frozen for {int} ms", async (ms: number) => {
    const fleet = readOwnerFleet();
    fleet.faults.freeze([pickOwner(fleet)]);
    await fleet.advance(ms);
    fleet.faults.freeze([]);
    await fleet.advance(RETURN_MS);
});

When("an owner is suspended for {int} ms", async (ms: number) => {
    const fleet = readOwnerFleet();
    fleet.faults.suspend([pickOwner(fleet)]);
    await fleet.advance(ms);
    fleet.faults.suspend([]);
    await fleet.advance(RETURN_MS);
});

When("an owner is frozen for {int} ms, and all hosts are started again", async (ms: number) => {
    const fleet = readOwnerFleet();
    fleet.faults.freeze([pickOwner(fleet)]);
    await fleet.advance(ms);
    fleet.faults.freeze([]);
    fleet.hosts.forEach(host => fleet.restart(host));
    await fleet.advance(RETURN_MS);
});

When("an owner is killed for good", async () => {
    const fleet = readOwnerFleet();
    fleet.kill(pickOwner(fleet));
    await fleet.advance(LEASE_MS);
});

When("an owner is killed and started again after {int} ms", async (ms: number) => {
    const fleet = readOwnerFleet();
    const host = pickOwner(fleet);
    fleet.kill(host);
    await fleet.advance(ms);
    fleet.restart(host);
    await fleet.advance(RETURN_MS);
});

When("an owner is cut off from the store for {int} ms, and its orders are late", async (ms: number) => {
    const fleet = readOwnerFleet();
    const hosts = [pickOwner(fleet)];
    fleet.faults.cutFromStore(hosts);
    fleet.delayOrders(hosts, LATE_ORDER_MS);
    await fleet.advance(ms);
    fleet.faults.cutFromStore([]);
    fleet.delayOrders([], 0);
    await fleet.advance(RETURN_MS);
});

When("an owner is cut off from the store for {int} ms with a slow clock", async (ms: number) => {
    const fleet = readOwnerFleet();
    const host = pickOwner(fleet);
    fleet.faults.setClockRate(host, SLOW_RATE);
    fleet.faults.cutFromStore([host]);
    await fleet.advance(ms);
    fleet.faults.cutFromStore([]);
    await fleet.advance(RETURN_MS);
});

When(
    "the store is silent for {int} ms, and for {word} {word} {word} for {int} ms more",
    async (outageMs: number, share: string, second: string, third: string, longerMs: number) => {
        const fleet = readOwnerFleet();
        beganMs = fleet.nowMs();
        fleet.faults.cutFromStore(fleet.hosts);
        await fleet.advance(outageMs);
        fleet.faults.cutFromStore(fleet.hosts.filter((host, at) => share === "half" && at % 2 === 0));
        await fleet.advance(longerMs);
        fleet.faults.cutFromStore([]);
        await fleet.advance(RETURN_MS);
    },
);

When(
    /^the store is away for (\d+) ms and comes back from a copy (\d+) ms old, since which (.*)$/,
    async (awayMs: string, ageMs: string, change: string) => {
        const fleet = readOwnerFleet();
        const restore = fleet.store.copy();
        const host = pickOwner(fleet);
        const { isCut } = playChange(fleet, host, change);
        await fleet.advance(Number(ageMs));
        fleet.store.setMode("silent");
        await fleet.advance(Number(awayMs));
        restore();
        fleet.store.setMode("serving");
        if (isCut) {
            await fleet.advance(3000);
            fleet.faults.cutFromStore([]);
        }
        await fleet.advance(RESTORE_MS);
    },
);

When(
    "the store comes back from copies {int} ms old, {int} times, each {int} ms after the other",
    async (ageMs: number, times: number, apartMs: number) => {
        const fleet = readOwnerFleet();
        for (let time = 0; time < times; time += 1) {
            const restore = fleet.store.copy();
            await fleet.advance(ageMs);
            restore();
            await fleet.advance(apartMs);
        }
    },
);

let secret: string | undefined;

When("the store comes back from a copy that lacks the hosts' secret", async () => {
    const fleet = readOwnerFleet();
    secret = await readSecret(fleet);
    fleet.store.remove(PEER_SECRET_KEY);
    fleet.store.copy()();
    await fleet.advance(RETURN_MS);
});

/** Time for a reply of the store, in milliseconds. */
const LIST_MS = 50;

Then("the store holds the secret of before again", async () => {
    strictEqual(await readSecret(readOwnerFleet()), secret);
});

async function readSecret(fleet: OwnerFleet): Promise<string | undefined> {
    const listed = fleet.store.list(PEER_SECRET_KEY);
    await fleet.advance(LIST_MS);
    return (await listed).items[0]?.value.toString();
}

/** Plays what happens after the copy was made, as a row of the table names it. */
function playChange(fleet: OwnerFleet, host: string, change: string): { readonly isCut: boolean } {
    switch (change) {
        case "nothing has changed":
            break;
        case "an owner was killed":
            fleet.kill(host);
            break;
        case "an owner was killed and started again":
            fleet.restart(host);
            break;
        case "an owner has stopped":
            fleet.stopHost(host);
            break;
        case "all hosts have started again":
            fleet.hosts.forEach(name => fleet.restart(name));
            break;
        case "an owner was cut off from the store, and is for 3000 ms more":
            fleet.faults.cutFromStore([host]);
            return { isCut: true };
        default:
            throw new Error(`unknown change: ${change}`);
    }
    return { isCut: false };
}

/** Time in which all engines have owners again after the store's return, in milliseconds. */
const RESTORE_MS = 10_000;

/** Time in which a host that is back has taken up its engines, or learned who owns them, in milliseconds. */
const RETURN_MS = 4000;
/** Time after which the keys of a host that is gone have ended, in milliseconds. */
const LEASE_MS = 6000;

Then("no two hosts order an engine within {int} ms of each other", (withinMs: number) => {
    const last = new Map<string, FleetOrder>();
    for (const order of [...readOwnerFleet().orders].sort((a, b) => a.atMs - b.atMs)) {
        const before = last.get(order.engine);
        ok(
            before === undefined || before.host === order.host || order.atMs - before.atMs >= withinMs,
            `${order.engine}: ${order.host} at ${order.atMs}, ${before?.host} at ${before?.atMs}`,
        );
        last.set(order.engine, order);
    }
});

Then("engines took orders for {int} ms of the outage", (ms: number) => {
    const times = readOwnerFleet().orders.filter(order => order.reply === "accepted").map(order => order.atMs);
    for (let fromMs = beganMs; fromMs + ORDER_GAP_MS <= beganMs + ms; fromMs += ORDER_GAP_MS) {
        ok(times.some(atMs => atMs >= fromMs && atMs < fromMs + ORDER_GAP_MS), `no orders at ${fromMs - beganMs} ms`);
    }
});

Then("after {int} ms more each engine has taken orders again", async (ms: number) => {
    const fleet = readOwnerFleet();
    const engines = new Set(fleet.orders.map(order => order.engine));
    const fromMs = fleet.nowMs();
    await fleet.advance(ms);
    const ordered = new Set(
        fleet.orders.filter(order => order.reply === "accepted" && order.atMs > fromMs).map(order => order.engine),
    );
    const idle = [...engines].filter(engine => !ordered.has(engine));
    ok(idle.length === 0, `no orders for ${idle.join(" ")}`);
});
