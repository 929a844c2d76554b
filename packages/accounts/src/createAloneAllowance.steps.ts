import { createRandom } from "@fulmarcleat/ids";
import { ok, Then, When } from "@fulmarcleat/testing";
import { createAloneAllowance } from "./createAloneAllowance.js";

const MS_PER_S = 1000;
const START_MS = 10_000;

let admitted = 0;

When(
    "a host of {int} decides alone for {int} s on {int} requests of {int} tokens a second at a limit of {int}, and granters admitted {int} in 100 before",
    (hosts: number, seconds: number, asked: number, cost: number, perSecond: number, percent: number) => {
        const random = createRandom(5);
        const alone = createAloneAllowance();
        const limit = { unit: "tokens", perSecond, burst: 58_000, requestTokens: 900 } as const;
        alone.recordAnswer(100 * cost, percent * cost, START_MS);
        admitted = 0;
        for (let index = 0; index < seconds * asked; index += 1) {
            const atMs = START_MS + index * MS_PER_S / asked;
            const terms = { cost, limit, hosts, extra: 27_500, windowMs: 8000, draw: random.next(), atMs };
            admitted += alone.admit(terms) ? 1 : 0;
        }
    },
);

When(
    "a host of {int} that has just started decides alone on {int} requests of {int} tokens at a limit of {int}",
    (hosts: number, count: number, cost: number, perSecond: number) => {
        const alone = createAloneAllowance();
        const limit = { unit: "tokens", perSecond, burst: 58_000, requestTokens: 900 } as const;
        const terms = { cost, limit, hosts, extra: 27_500, windowMs: 8000, draw: 0.5, atMs: START_MS };
        admitted = Array.from({ length: count }, () => alone.admit(terms)).filter(Boolean).length;
    },
);

Then(
    "it admits between {int} and {int} requests",
    (least: number, most: number) => ok(admitted >= least && admitted <= most, `${admitted} admitted`),
);
