import { createRandom } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { Given, ok, strictEqual, Then, When } from "@fulmarcleat/testing";
import type { ModelEngineView } from "./engineView.js";
import { parseModelEngine } from "./parseModelEngine.steps.js";
import { pickCandidates } from "./pickCandidates.js";

const LOAD_MS = 260;
let engines: ModelEngineView[] = [];
let picks = new Map<EngineId, number>();

Given(/^candidates among (.*)$/, (text: string) => {
    engines = text.trim().split(" ").map(parseModelEngine);
});

Given("{int} model engines that all have the adapter", (count: number) => {
    engines = Array.from({ length: count }, (value, index) => parseModelEngine(`e${index}:present`));
});

Then("candidates are {string}", (text: string) => {
    const order = engines.map(engine => engine.id);
    const picked = pickCandidates({ engines, order, atMs: 0, loadMs: LOAD_MS, policy: "expected_wait" }, () => 0);
    strictEqual(picked.map(engine => engine.id).sort().join(" "), text);
});

When("{int} hosts pick candidates for it, seed {int}", (hosts: number, seed: number) => {
    const random = createRandom(seed);
    const order = engines.map(engine => engine.id);
    picks = new Map(order.map(id => [id, 0]));
    for (let host = 0; host < hosts; host += 1) {
        for (
            const { id } of pickCandidates(
                { engines, order, atMs: 0, loadMs: LOAD_MS, policy: "expected_wait" },
                () => random.next(),
            )
        ) {
            picks.set(id, (picks.get(id) ?? 0) + 1);
        }
    }
});

Then("every engine is picked by {int} hosts or more, and none by more than {int}", (least: number, most: number) => {
    const counts = [...picks.values()];
    ok(Math.min(...counts) >= least && Math.max(...counts) <= most, JSON.stringify([...picks]));
});
