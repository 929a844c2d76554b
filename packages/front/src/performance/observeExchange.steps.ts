import type { AnswerSink, EngineAnswerHead, EngineEntry, EngineRequest } from "@fulmarcleat/directory";
import { brandId, createManualClock } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { strictEqual, Then, When } from "@fulmarcleat/testing";
import type { PerformanceTracker } from "./createPerformanceTracker.js";
import { observeExchange } from "./observeExchange.js";

const ENGINE = brandId<EngineId>("i-1");
const EVENT = Buffer.from("id: 1\n\n");

let samples: string[] = [];
let gaps: number[] = [];

When(/^an observed exchange for (.*) gets (.*)$/, (kind: string, answer: string) => {
    samples = [];
    gaps = [];
    const clock = createManualClock(1000);
    const performance = {
        recordSample: (entry: EngineEntry, sample: { kind: string; ms: number }) =>
            void samples.push(`${sample.kind} ${sample.ms}`),
        recordGap: (entry: EngineEntry, gapMs: number) => void gaps.push(gapMs),
    } as unknown as PerformanceTracker;
    let engine: AnswerSink | undefined;
    const transport = {
        send(req: EngineRequest, sink: AnswerSink) {
            engine = sink;
            return { cancel: () => undefined, resume: () => undefined };
        },
    };
    const exchange = {
        entry: { id: ENGINE } as EngineEntry,
        isModel: kind !== "plain work",
        isStream: kind !== "plain work" && kind !== "no stream",
        isResumed: kind === "a resumed one",
        tokens: 700,
        clock,
    };
    observeExchange(transport, exchange, performance).send({} as EngineRequest, {
        head: () => undefined,
        piece: () => kind !== "a slow client",
        end: () => undefined,
        fail: () => undefined,
    });
    for (const part of answer.split(" ")) {
        const [what = "", at] = part.split("@");
        clock.advance(1000 + Number(at) - clock.nowMs());
        answerWith(engine, what);
    }
});

Then(/^it records(.*) and gaps(.*)$/, (expected: string, expectedGaps: string) => {
    strictEqual(samples.join(", "), expected.trim());
    strictEqual(gaps.join(" "), expectedGaps.trim());
});

function answerWith(sink: AnswerSink | undefined, what: string): void {
    switch (what) {
        case "event":
            sink?.piece(EVENT);
            return;
        case "events":
            sink?.piece(Buffer.concat([EVENT, EVENT]));
            return;
        case "part":
            sink?.piece(Buffer.from("id: "));
            return;
        case "end":
            sink?.end();
            return;
        case "fail":
            sink?.fail({ kind: "broken", reason: "ECONNRESET" });
            return;
        default:
            sink?.head(createHead(what));
    }
}

function createHead(what: string): EngineAnswerHead {
    const isFull = what === "full";
    return {
        status: what === "refusal" ? 503 : 200,
        isNotRun: what === "refusal",
        load: { running: isFull ? 8 : 3, waiting: isFull ? 2 : 0, slots: 8, workPercent: 100 },
        instance: what === "other" ? brandId<EngineId>("i-2") : undefined,
    } as EngineAnswerHead;
}
