import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId, createRandom } from "@fulmarcleat/ids";
import type { EngineId, FailureDomain } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import { chooseModelEngine } from "./chooseModelEngine.js";
import type { AdapterPresence, ModelEngineView } from "./engineView.js";
import { UNKNOWN_HEALTH } from "./reduceHealth.js";

const LOAD_MS = 260;
const PLACE_WAIT_MS = 190;
let engines: ModelEngineView[] = [];
let chosen = new Map<EngineId, number>();
let seed = 0;

Given(/^model engines (.*)$/, (text: string) => {
    engines = text.split(" ").map(parseEngine);
});

Then("the generation goes to {string}", (id: string) => {
    const order = engines.map(engine => engine.id);
    strictEqual(chooseModelEngine({ engines, order, atMs: 0, loadMs: LOAD_MS })?.id, id);
});

Given(
    "{int} model engines with {int} places and 200 rare adapters, seed {int}",
    (count: number, places: number, given: number) => {
        seed = given;
        engines = Array.from({ length: count }, (value, index) => createEngine(`e${index}`, absent(0), places));
    },
);

When("{int} rare adapters are asked for within 200 ms", async (count: number) => {
    const random = createRandom(seed);
    const hash = await createHasher();
    chosen = new Map();
    for (let asked = 0; asked < count; asked += 1) {
        const views = engines.map(engine => {
            const taken = chosen.get(engine.id) ?? 0;
            return { ...engine, load: taken, presence: absent(Math.max(0, taken + 1 - engine.slots) * PLACE_WAIT_MS) };
        });
        const adapter = `a${Math.floor(random.next() * 200)}`;
        const order = rankByRendezvous(hash, adapter, engines.map(engine => engine.id));
        const choice = chooseModelEngine({ engines: views, order, atMs: 0, loadMs: LOAD_MS });
        ok(choice !== undefined);
        chosen.set(choice.id, (chosen.get(choice.id) ?? 0) + 1);
    }
});

Then("no engine was chosen for more than {int} of them", (most: number) => {
    ok(Math.max(...chosen.values()) <= most, JSON.stringify([...chosen]));
});

function absent(placeWaitMs: number): AdapterPresence {
    return { kind: "absent", placeWaitMs, canLoad: true };
}

function createEngine(id: string, presence: AdapterPresence, slots: number): ModelEngineView {
    return {
        id: brandId<EngineId>(id),
        domain: brandId<FailureDomain>("d"),
        slots,
        load: 0,
        queuedTokens: 0,
        health: UNKNOWN_HEALTH,
        isSilent: false,
        leavesInMs: undefined,
        presence,
    };
}

function parseEngine(text: string): ModelEngineView {
    const [head = "", ...marks] = text.split(",");
    const [id = "", state = ""] = head.split(":");
    const [kind, wait = "0"] = state.split("+");
    const canLoad = !marks.includes("unowned");
    const presence: AdapterPresence = kind === "present"
        ? { kind }
        : kind === "coming"
        ? { kind, readyInMs: Number(wait) }
        : { kind: "absent", placeWaitMs: Number(wait), canLoad };
    const read = (name: string): number | undefined => {
        const mark = marks.find(entry => entry.startsWith(`${name}=`));
        return mark === undefined ? undefined : Number(mark.slice(name.length + 1));
    };
    return {
        ...createEngine(id, presence, 64),
        load: read("load") ?? 0,
        queuedTokens: read("tokens") ?? 0,
        isSilent: marks.includes("silent"),
        leavesInMs: read("leaves"),
    };
}
