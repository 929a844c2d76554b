import { After, Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { createOwnerFleet } from "./createOwnerFleet.steps.js";
import type { OwnerFleet } from "./createOwnerFleet.steps.js";
import type { StoreFakeMode } from "./createStoreFake.steps.js";

/** Time in which the hosts have started and shared the engines out, in milliseconds. */
const START_MS = 6000;
/** Time after a loss until a host's last order without a reply has timed out, in milliseconds. */
const LAST_ORDER_MS = 600;
/** Time that each host has its paths between two losses, in milliseconds. */
const PAUSE_MS = 200;

let fleet: OwnerFleet;

/**
 * Returns the fleet of the scenario that runs.
 *
 * @returns the fleet that the scenario's first step has started
 *
 * @example
 * const fleet = readOwnerFleet();
 */
export function readOwnerFleet(): OwnerFleet {
    return fleet;
}

let lostMs = 0;
let formerOwners: ReadonlyMap<string, string>;
let cut: readonly string[] = [];

Given(
    "{int} hosts in {int} failure domains that own {int} engines, which {word} fences",
    async (hosts: number, domains: number, engines: number, check: string) => {
        cut = [];
        fleet = await createOwnerFleet({ hosts, domains, engines, checksFences: check === "check" });
        await fleet.advance(START_MS);
        strictEqual(fleet.readOwners().size, engines);
    },
);

After(() => (fleet as OwnerFleet | undefined)?.stop());

/** Picks hosts that own engines, so that the loss of their paths matters. */
function pick(which: string): readonly string[] {
    const owners = [...new Set(fleet.readOwners().values())].filter(host => !cut.includes(host)).sort();
    const [first = ""] = owners;
    switch (which) {
        case "all":
            return fleet.hosts;
        case "all but one":
            return fleet.hosts.filter(host => host === first || fleet.hosts.indexOf(host) !== fleet.hosts.length - 1);
        case "domain":
            return fleet.hosts.filter(host => fleet.readDomain(host) === fleet.readDomain(first));
        default:
            return owners.slice(0, Number(which));
    }
}

function lose(which: string): void {
    formerOwners = fleet.readOwners();
    cut = [...cut, ...pick(which)];
    lostMs = fleet.nowMs();
    fleet.cut(cut);
}

When(/^(\d+) hosts? lose their paths to the engines$/, (count: string) => lose(count));
When("all of a domain lose their paths to the engines", () => lose("domain"));
When("all hosts but one lose their paths to the engines", () => lose("all but one"));
When("all hosts lose their paths to the engines", () => lose("all"));

When(
    "{int} host lose their paths to the engines, and {int} ms later the store is {word} for {int} ms",
    async (count: number, fromMs: number, mode: StoreFakeMode, forMs: number) => {
        lose(String(count));
        await fleet.advance(fromMs);
        fleet.store.setMode(mode);
        await fleet.advance(forMs);
        fleet.store.setMode("serving");
        lostMs = fleet.nowMs();
    },
);

When(
    "{int} host lose their paths to the engines, and the store falls silent once a handover is written",
    (count: number) => {
        fleet.silenceAfterHandover();
        lose(String(count));
    },
);

When("{int} ms later the store serves again", async (ms: number) => {
    await fleet.advance(ms);
    fleet.store.setMode("serving");
    lostMs = fleet.nowMs();
});

When("{int} host restart without paths to the engines", (count: number) => {
    lose(String(count));
    cut.forEach(host => fleet.restart(host));
});

When("{int} ms later {int} host more", async (ms: number, count: number) => {
    await fleet.advance(ms);
    const before = formerOwners;
    lose(String(count));
    formerOwners = before;
});

When("{int} ms later {int} host stops", async (ms: number, count: number) => {
    await fleet.advance(ms);
    [...new Set(fleet.readOwners().values())].sort().slice(0, count).forEach(host => fleet.stopHost(host));
});

When("{int} ms later all paths are back", async (ms: number) => {
    await fleet.advance(ms);
    fleet.cut([]);
    lostMs = fleet.nowMs();
});

When("for {int} ms one host after the other loses its paths for {int} ms", async (forMs: number, lossMs: number) => {
    const untilMs = fleet.nowMs() + forMs;
    for (let turn = 0; fleet.nowMs() < untilMs; turn += 1) {
        fleet.cut([fleet.hosts[turn % fleet.hosts.length] ?? ""]);
        await fleet.advance(lossMs);
        fleet.cut([]);
        await fleet.advance(PAUSE_MS);
    }
});

Then(
    "within {int} ms each engine of theirs takes orders of another host under a higher fence",
    async (withinMs: number) => {
        await fleet.advance(withinMs);
        const lost = [...formerOwners].filter(([, host]) => cut.includes(host)).map(([engine]) => engine);
        ok(lost.length > 0, "the hosts owned no engine");
        for (const engine of lost) {
            const taken = fleet.orders.filter(order => order.engine === engine && order.reply === "accepted");
            const before = taken.filter(({ host }) => cut.includes(host)).map(({ fence }) => fence);
            const after = taken.find(({ atMs, host }) => atMs > lostMs && !cut.includes(host));
            ok(after !== undefined, `${engine} takes no orders`);
            ok(after.fence > Math.max(...before), `${engine}: ${after.fence} after ${before.join(" ")}`);
        }
    },
);

Then("for {int} ms more the hosts without paths send no orders and own no engine", async (ms: number) => {
    await fleet.advance(ms);
    const sent = fleet.orders.filter(({ atMs, host }) => atMs > lostMs + LAST_ORDER_MS && cut.includes(host));
    strictEqual(sent.length, 0);
    strictEqual([...fleet.readOwners().values()].filter(host => cut.includes(host)).length, 0);
});

Then("no order came while a former owner's could still be carried out", () => {
    for (const order of fleet.orders.filter(({ reply }) => reply === "accepted")) {
        const open = fleet.orders.find(other =>
            other.engine === order.engine && other.host !== order.host && other.reply === "unknown"
            && other.atMs < order.atMs && order.atMs < other.atMs + fleet.orderLeaseMs
        );
        ok(
            fleet.checksFences || open === undefined,
            `${order.engine}: ${order.host} at ${order.atMs}, ${open?.host} at ${open?.atMs}`,
        );
    }
});

Then("within {int} ms each engine takes orders", async (withinMs: number) => {
    await fleet.advance(withinMs);
    for (const engine of fleet.readOwners().keys()) {
        const after = fleet.orders.some(order =>
            order.engine === engine && order.reply === "accepted" && order.atMs > lostMs
        );
        ok(after, `${engine} takes no orders`);
    }
});

Then("no order has a fence below one before it", () => {
    const highest = new Map<string, number>();
    for (const { engine, fence } of fleet.orders) {
        ok(fence >= (highest.get(engine) ?? 0), `${engine}: ${fence} after ${highest.get(engine)}`);
        highest.set(engine, fence);
    }
});

Then("no host orders under a fence that it has given up", () => {
    ok(fleet.givenUpClaims.length > 0, "no engine was handed over");
    for (const { engine, fence, atMs } of fleet.givenUpClaims) {
        const late = fleet.orders.find(order => order.engine === engine && order.fence === fence && order.atMs > atMs);
        ok(late === undefined, `${engine}: ${fence} is given up at ${atMs}, and used at ${late?.atMs}`);
    }
});

Then("for {int} ms the owners stay the same", async (ms: number) => {
    const before = [...fleet.readOwners()].sort().join(" ");
    await fleet.advance(ms);
    strictEqual([...fleet.readOwners()].sort().join(" "), before);
});

Then("no host has handed the same engine over twice within {int} ms", (withinMs: number) => {
    ok(fleet.handovers.length > 0, "no engine was handed over");
    fleet.handovers.forEach((handover, at) => {
        const again = fleet.handovers.slice(at + 1).find(other =>
            other.host === handover.host && other.engine === handover.engine && other.atMs < handover.atMs + withinMs
        );
        strictEqual(again, undefined);
    });
});
