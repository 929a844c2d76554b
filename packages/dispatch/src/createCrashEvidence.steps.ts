import { brandId, createRandom } from "@fulmarcleat/ids";
import type { Suspect } from "@fulmarcleat/ids";
import { deepStrictEqual, strictEqual, Then } from "@fulmarcleat/testing";
import { createCrashEvidence } from "./createCrashEvidence.js";
import type { Suspects } from "./createCrashEvidence.js";

/** Time between two events, in milliseconds, unless the event states another. */
const EVENT_INTERVAL_MS = 400;

/** An event: `+PARTS` is an answer, `-PART` clears a part, `!PART` is another host's finding, and ENGINE:PARTS or ENGINE@INTERVAL:PARTS reports a crash. */
const EVENT = /^(?:(?<sign>[+\-!])|(?<engine>\d+)(?:@(?<afterMs>\d+))?:)(?<parts>.*)$/;

function parseParts(text: string): Suspects {
    return text.split("/").map(part => brandId<Suspect>(part));
}

Then(/^after (.*) the parts found are "(.*)"$/, (events: string, expected: string) => {
    const evidence = createCrashEvidence();
    const found = new Set<Suspect>();
    let atMs = 0;
    const all = events.split(", ").map(event => EVENT.exec(event)?.groups ?? {});
    for (const [at, { sign, engine = "", afterMs, parts: text = "" }] of all.entries()) {
        const parts = parseParts(text);
        atMs += Number(afterMs ?? EVENT_INTERVAL_MS);
        if (sign === "+") {
            evidence.recordAnswer(parts, atMs);
        }
        else if (sign === "!") {
            parts.forEach(part => {
                evidence.accept(part);
                found.add(part);
            });
        }
        else if (sign === "-") {
            parts.forEach(part => {
                evidence.clear(part);
                found.delete(part);
            });
        }
        else {
            evidence.recordCrash(engine, [parts], atMs);
            const finding = all[at + 1]?.["engine"] === engine ? undefined : evidence.judgeCrash(engine, atMs);
            if (finding?.kind === "found") {
                for (const suspect of finding.suspects) {
                    evidence.accept(suspect);
                    found.add(suspect);
                }
                for (const part of finding.explains) {
                    evidence.clear(part);
                    found.delete(part);
                }
            }
        }
    }
    strictEqual([...found].sort().join(" "), expected);
});

Then(
    "in {int} random runs of {int} crashes with {int} shared parts, each answered every {int} s, no part is found",
    (runs: number, count: number, parts: number, answeredS: number) => {
        for (let seed = 1; seed <= runs; seed += 1) {
            deepStrictEqual(playAccidents(seed, count, parts, answeredS * 1000), [], `seed ${seed}`);
        }
    },
);

/** Plays crashes at which requests with random parts were there, and lists the parts found. */
function playAccidents(seed: number, count: number, parts: number, answerIntervalMs: number): readonly Suspect[] {
    const random = createRandom(seed);
    const evidence = createCrashEvidence();
    const found: Suspect[] = [];
    const drawPrompt = (): Suspects => parseParts(`a/p${Math.floor(parts * random.next())}`);
    const nextAnswerMs = Array.from({ length: parts }, () => answerIntervalMs * random.next());
    let atMs = answerIntervalMs;
    for (let engine = 0; engine < count; engine += 1) {
        atMs += 2 * EVENT_INTERVAL_MS * random.next();
        for (const [part, answeredMs] of nextAnswerMs.entries()) {
            if (answeredMs <= atMs) {
                evidence.recordAnswer(parseParts(`a/p${part}`), answeredMs);
                nextAnswerMs[part] = atMs + answerIntervalMs;
            }
        }
        const prompts = Array.from({ length: 1 + Math.floor(20 * random.next()) }, drawPrompt);
        evidence.recordCrash(String(engine), prompts, atMs);
        const finding = evidence.judgeCrash(String(engine), atMs);
        if (finding.kind === "found") {
            found.push(...finding.suspects);
        }
    }
    return found;
}
