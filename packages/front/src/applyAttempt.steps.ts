import type { EngineAnswerHead } from "@fulmarcleat/directory";
import type { Outcome } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { Given, strictEqual, Then, When } from "@fulmarcleat/testing";
import { applyAttempt, NO_ATTEMPTS } from "./applyAttempt.js";
import type { AttemptOutcome, BufferedAnswer, RequestEnd, RequestProgress } from "./applyAttempt.js";
import { giveUp } from "./giveUp.js";
import type { ExchangeResult } from "./runExchange.js";

const ENGINE = brandId<EngineId>("e2");
let progress: RequestProgress = NO_ATTEMPTS;
let next: AttemptOutcome;

Given("a request with the earlier attempts {string}", (text: string) => {
    const attempts = text === "" ? [] : text.split(" ");
    progress = {
        ...NO_ATTEMPTS,
        sends: attempts.length,
        outcomes: attempts.map(attempt => attempt === "failed" ? "ran" : attempt as Outcome),
        failedAnswer: attempts.includes("failed") ? createAnswer(500) : undefined,
    };
});

When(
    /^an attempt at "e2" ends as "(.*)" and it (may not run again|may run again|may be answered by others)$/,
    (result: string, may: string) => {
        next = applyAttempt(progress, {
            engine: ENGINE,
            result: parseResult(result),
            mayRetry: may === "may run again",
            mayFailOver: may === "may be answered by others",
        });
    },
);

Then("the next step is {string}", (expected: string) => {
    if (next.kind === "over") {
        strictEqual(formatEnd(next.end), expected);
        return;
    }
    const { outcomes, excluded, isMissing } = next.progress;
    const parts = [
        "again",
        ...outcomes,
        ...(isMissing ? ["missing"] : []),
        ...(excluded.has(ENGINE) ? ["passed"] : []),
        ...(next.pauseMs > 0 ? [`after ${next.pauseMs}`] : []),
    ];
    strictEqual(parts.join(" "), expected);
});

Then("ending it with the reason {string} gives {string}", (reason: string, expected: string) => {
    strictEqual(formatEnd(giveUp(progress, reason as "no_room", 400)), expected);
});

function parseResult(text: string): ExchangeResult {
    const [kind, status = "0", detail] = text.split(" ");
    switch (kind) {
        case "relayed":
            return { kind, status: 200, framing: "chunks" };
        case "answer":
            return createAnswer(Number(status));
        case "not_run":
            return { kind, status: Number(status), isReplaced: detail === "replaced" };
        case "unsent":
            return { kind, reason: "ECONNRESET" };
        case "broken":
            return { kind, reason: "ECONNRESET", framing: undefined };
        default:
            return { kind: "cancelled" };
    }
}

function createAnswer(status: number): BufferedAnswer {
    return { kind: "answer", head: { status } as EngineAnswerHead, body: Buffer.alloc(0) };
}

function formatEnd(end: RequestEnd): string {
    switch (end.kind) {
        case "relayed":
            return end.kind;
        case "answer":
            return `answer ${end.result.head.status}`;
        case "gave_up":
            return `gave_up ${end.outcome} ${end.reason}`;
    }
}
