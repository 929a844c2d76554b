import type { EngineOrder, EngineReport, OrderReply } from "@fulmarcleat/directory";
import { brandId, createRandom } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, HostId, Random } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { applyEngineReport } from "./applyEngineReport.js";
import { applyOrderReply } from "./applyOrderReply.js";
import { planOrder } from "./planOrder.js";
import { reduceResidency } from "./reduceResidency.js";
import { createResidencyState } from "./residencyState.js";
import type { LoadRequest, ResidencyState, Resident, ResidentPhase } from "./residencyState.js";

const MODEL = brandId<BaseModel>("base");
const HOST = brandId<HostId>("h");
const FAR_MS = 100_000;
let state: ResidencyState = createResidencyState(MODEL, 1);

Given(
    /^an owner with (\d+) adapter slots, order count (\d+), adapters (.*) and load requests (.*)$/,
    (slots: string, seq: string, residents: string, requests: string) => {
        const fields = residents.split(" ").map(parseMarks);
        state = {
            ...createResidencyState(MODEL, Number(slots)),
            seq: Number(seq),
            modelPhase: "present",
            residents: new Map(
                fields.filter(entry => !entry.marks.has("unlisted")).map(
                    entry => [entry.adapter, createResident(entry)],
                ),
            ),
            loadRequests: new Map(
                requests.split(" ").filter(text => text !== "").map(parseMarks).map(createLoadRequest),
            ),
            usageByHost: new Map([[HOST, {
                atMs: 1000,
                inFlight: new Map(fields.filter(entry => entry.marks.has("used")).map(entry => [entry.adapter, 1])),
                total: 0,
                queuedTokens: 0,
            }]]),
        };
    },
);

When("the owner's step at {int} ms gets the reply {string}", (atMs: number, kind: OrderReply["kind"]) => {
    const step = planOrder(state, atMs);
    ok(step.kind === "order");
    state = applyOrderReply(state, step.order, { kind } as OrderReply, atMs);
});

Then("the owner's next step at {int} ms is {string}", (atMs: number, expected: string) => {
    const step = planOrder(state, atMs);
    strictEqual(step.kind === "wait" ? "" : step.kind === "order" ? formatOrder(step.order) : "read report", expected);
});

Then("the owner's order count is {int}", (seq: number) => strictEqual(state.seq, seq));

Then(
    "{int} seeded simulations of {int} steps on an engine of {int} adapter slots never exceed them",
    (runs: number, steps: number, slots: number) => {
        let loads = 0;
        for (let seed = 1; seed <= runs; seed += 1) {
            loads += runSimulation(seed, steps, slots);
        }
        ok(loads > runs, `only ${loads} loads`);
    },
);

/**
 * Simulated engine that accepts an order only with the right order count. Orders may be executed late, and replies may
 * be lost.
 */
class SimulatedEngine {
    seq = 0;
    readonly held = new Set<AdapterName>();
    readonly delayedOrders: { readonly order: EngineOrder; readonly expectedSeq: number }[] = [];
    loads = 0;

    constructor(readonly slots: number) {}

    execute(order: EngineOrder, expectedSeq: number): OrderReply {
        if (order.kind === "load_model") {
            return { kind: "holds_already" };
        }
        if (expectedSeq !== this.seq) {
            return { kind: "conflict" };
        }
        if (order.kind === "load_adapter") {
            this.held.add(order.adapter);
            this.loads += 1;
            ok(this.held.size <= this.slots, "more adapters than slots");
            this.seq += 1;
            return { kind: "accepted" };
        }
        this.held.delete(order.adapter);
        this.seq += 1;
        return { kind: "holds_already" };
    }

    report(): EngineReport {
        const adapters = [...this.held].map(adapter => ({ adapter, version: 1 }));
        const models = [{ model: MODEL, version: 1, adapters }];
        return { models, coming: [], isBusy: false, seq: this.seq, running: 0, waiting: 0 };
    }
}

function runSimulation(seed: number, steps: number, slots: number): number {
    const random = createRandom(seed);
    const engine = new SimulatedEngine(slots);
    let owner = createResidencyState(MODEL, slots);
    for (let atMs = 0, step = 0; step < steps; step += 1, atMs += 100) {
        const adapter = brandId<AdapterName>(`a${Math.floor(random.next() * 9)}`);
        const loadRequest = { version: undefined, dueMs: atMs + 500, sinceMs: atMs, untilMs: atMs + 1500 };
        owner = reduceResidency(owner, { kind: "want", adapter, want: loadRequest });
        owner = reduceResidency(owner, { kind: "tick", atMs });
        owner = executeStep(owner, engine, random, atMs);
        if (engine.delayedOrders.length > 0 && random.next() < 0.3) {
            const { order, expectedSeq } = engine.delayedOrders.shift() ?? { order: LOAD_MODEL, expectedSeq: -1 };
            engine.execute(order, expectedSeq);
        }
    }
    return engine.loads;
}

const LOAD_MODEL: EngineOrder = { kind: "load_model", model: MODEL };

function executeStep(owner: ResidencyState, engine: SimulatedEngine, random: Random, atMs: number): ResidencyState {
    const step = planOrder(owner, atMs);
    switch (step.kind) {
        case "wait":
            return owner;
        case "read_report":
            return applyEngineReport(owner, engine.report(), atMs);
        case "order": {
            const expectedSeq = owner.seq ?? 0;
            const chance = random.next();
            if (chance < 0.2) {
                engine.delayedOrders.push({ order: step.order, expectedSeq });
                return applyOrderReply(owner, step.order, { kind: "unknown" }, atMs);
            }
            const reply = engine.execute(step.order, expectedSeq);
            return applyOrderReply(owner, step.order, chance < 0.4 ? { kind: "unknown" } : reply, atMs);
        }
    }
}

interface MarkedAdapter {
    readonly adapter: AdapterName;
    readonly marks: ReadonlyMap<string, number>;
}

function parseMarks(text: string): MarkedAdapter {
    const [name = "", ...marks] = text.split(",");
    const entries = marks.map((mark): [string, number] => {
        const [key = "", value = "0"] = mark.split("=");
        return [key, Number(value)];
    });
    return { adapter: brandId<AdapterName>(name), marks: new Map(entries) };
}

function createResident({ marks }: MarkedAdapter): Resident {
    const phase: ResidentPhase = marks.has("loading")
        ? { kind: "loading", readyAtMs: FAR_MS }
        : marks.has("leaving")
        ? { kind: "leaving" }
        : { kind: "present" };
    return {
        version: marks.get("version") ?? 1,
        phase,
        demand: marks.get("demand") ?? 1,
        demandAtMs: 1000,
        sinceMs: marks.get("since") ?? 0,
    };
}

function createLoadRequest({ adapter, marks }: MarkedAdapter): [AdapterName, LoadRequest] {
    return [adapter, {
        version: marks.get("version"),
        dueMs: marks.get("due") ?? 2000,
        sinceMs: 0,
        untilMs: marks.get("until") ?? FAR_MS,
    }];
}

function formatOrder(order: EngineOrder): string {
    switch (order.kind) {
        case "load_model":
            return "load model";
        case "load_adapter":
            return `load ${order.adapter}${order.version === undefined ? "" : `@${order.version}`}`;
        case "unload_adapter":
            return `unload ${order.adapter}`;
    }
}
