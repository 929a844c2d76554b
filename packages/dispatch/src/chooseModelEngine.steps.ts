import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { createRandom } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, throws, When } from "@fulmarcleat/testing";
import { chooseModelEngine } from "./chooseModelEngine.js";
import { parseEnginePolicy } from "./enginePolicy.js";
import type { ModelEngineView } from "./engineView.js";
import { parseModelEngine } from "./parseModelEngine.steps.js";

const LOAD_MS = 260;
const PLACE_WAIT_MS = 190;
let engines: ModelEngineView[] = [];
let chosen = new Map<EngineId, number>();
let seed = 0;

Given(/^model engines (.*)$/, (text: string) => {
    engines = text.split(" ").map(parseModelEngine);
});

Then("the generation goes to {string}", (id: string) => {
    const order = engines.map(engine => engine.id);
    strictEqual(chooseModelEngine({ engines, order, atMs: 0, loadMs: LOAD_MS, policy: "expected_wait" })?.id, id);
});

Then("under {string} the generation goes to {string}", (policy: string, id: string) => {
    const order = engines.map(engine => engine.id);
    const options = { engines, order, atMs: 0, loadMs: LOAD_MS, policy: parseEnginePolicy(policy) };
    strictEqual(chooseModelEngine(options)?.id, id);
});

Then(
    "{string} is rejected as a policy",
    (name: string) => throws(() => parseEnginePolicy(name), /not an engine policy/),
);

Given(
    "{int} model engines with {int} adapter slots and 200 rare adapters, seed {int}",
    (count: number, slots: number, givenSeed: number) => {
        seed = givenSeed;
        engines = Array.from(
            { length: count },
            (value, index) => ({ ...parseModelEngine(`e${index}:absent`), slots }),
        );
    },
);

When("{int} rare adapters are requested within 200 ms", async (count: number) => {
    const random = createRandom(seed);
    const hash = await createHasher();
    chosen = new Map();
    for (let requested = 0; requested < count; requested += 1) {
        const views = engines.map(engine => {
            const load = chosen.get(engine.id) ?? 0;
            const placeWaitMs = Math.max(0, load + 1 - engine.slots) * PLACE_WAIT_MS;
            const absent = { kind: "absent", placeWaitMs, canLoad: true } as const;
            return { ...engine, load, presence: absent };
        });
        const adapter = `a${Math.floor(random.next() * 200)}`;
        const order = rankByRendezvous(hash, adapter, engines.map(engine => engine.id));
        const choice = chooseModelEngine({ engines: views, order, atMs: 0, loadMs: LOAD_MS, policy: "expected_wait" });
        ok(choice !== undefined);
        chosen.set(choice.id, (chosen.get(choice.id) ?? 0) + 1);
    }
});

Then("no engine was chosen for more than {int} of them", (most: number) => {
    ok(Math.max(...chosen.values()) <= most, JSON.stringify([...chosen]));
});
