import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, HostId } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { applyOrderReply } from "./applyOrderReply.js";
import { describeResidency } from "./describeResidency.js";
import { reduceResidency } from "./reduceResidency.js";
import { createResidencyState } from "./residencyState.js";
import type { ResidencyState } from "./residencyState.js";

const MODEL = brandId<BaseModel>("base");
const LOAD = { kind: "load_adapter", model: MODEL, adapter: brandId<AdapterName>("a"), version: 1 } as const;
const UNLOAD = { kind: "unload_adapter", model: MODEL, adapter: LOAD.adapter } as const;
let state: ResidencyState = createResidencyState(MODEL, 4);

function tick(atMs: number): void {
    state = reduceResidency(state, { kind: "tick", atMs });
}

function reportMissing(atMs: number): void {
    tick(atMs);
    state = reduceResidency(state, { kind: "missing", adapter: LOAD.adapter, atMs });
}

Given("an owner whose loads take {int} ms, as it thinks", (loadMs: number) => {
    state = { ...createResidencyState(MODEL, 4), seq: 3, modelPhase: "present", loadMs };
});

When(
    /^adapter "a" is loaded at 1000 ms(|after it was unloaded|as a replacement|, found missing at \d+ ms)$/,
    (before: string) => {
        if (before.includes("unloaded")) {
            state = applyOrderReply(state, LOAD, { kind: "accepted" }, 0);
            tick(900);
            state = applyOrderReply(state, UNLOAD, { kind: "holds_already" }, 950);
        }
        if (before === "as a replacement") {
            state = applyOrderReply(state, { ...LOAD, version: 0 }, { kind: "holds_already" }, 0);
        }
        state = applyOrderReply(state, LOAD, { kind: "accepted" }, 1000);
        const missing = /missing at (\d+)/.exec(before)?.[1];
        if (missing !== undefined) {
            reportMissing(Number(missing));
        }
    },
);

When("a request finds it missing at {int} ms", reportMissing);

When("its model is being loaded", () => {
    state = { ...state, modelPhase: "loading" };
});

When("an order at {int} ms gets the reply {string}", (atMs: number, kind: "conflict" | "unknown") => {
    state = applyOrderReply(state, LOAD, { kind }, atMs);
});

Then("it is expected at {int} ms", (readyAtMs: number) => {
    const resident = state.residents.get(LOAD.adapter);
    ok(resident !== undefined);
    strictEqual(Math.round(resident.sinceMs), readyAtMs);
});

Then("further loads are expected to take {int} ms", (loadMs: number) => strictEqual(state.loadMs, loadMs));

Then(/^the owner (reads|does not read) the engine's report$/, (reads: string) => {
    strictEqual(state.seq === undefined, reads === "reads");
});

Then("an adapter is expected to wait {int} ms for its order", (waitMs: number) => {
    strictEqual(describeResidency(state, 1000).placeWaitMs, waitMs);
});

When("hosts report requests that hold {string} tokens", (tokens: string) => {
    tokens.split(" ").forEach((text, index) => {
        const heldTokens = text === "none" ? undefined : Number(text);
        const use = { atMs: 1000, inFlight: new Map<AdapterName, number>(), total: 1, queuedTokens: 0, heldTokens };
        state = reduceResidency(state, { kind: "use", host: brandId<HostId>(`h${index}`), use, started: [] });
    });
});

Then(/^the owner reports (\d+|no) tokens held in the engine's memory$/, (held: string) => {
    strictEqual(String(describeResidency(state, 1000).heldTokens ?? "no"), held);
});
