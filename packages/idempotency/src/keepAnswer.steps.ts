import { registerTable } from "@fulmarcleat/testing";
import { keepAnswer } from "./keepAnswer.js";

registerTable("keepAnswer", (kept: readonly string[], nonce: string, length: number, maxBytes: number) => {
    const answer = {
        kind: "generation",
        text: "a".repeat(length),
        finishReason: "stop",
        tokens: 1,
        ranModel: "m@1",
    } as const;
    const before = kept.map(name => ({ nonce: name, answer, bytes: 95 }));
    return keepAnswer(before, nonce, answer, maxBytes).map(entry => entry.nonce);
});
